#include <support/request_bytes.hpp>

#include <fmt/format.h>

namespace support {

std::string chunkOf(std::size_t bytes)
{
    return fmt::format("{:x}\r\n{}\r\n", bytes, std::string(bytes, 'x'));
}

std::string shortFields(std::size_t bytes)
{
    const std::string field = "a:b\r\n";
    return repeat(field, static_cast<u32>(bytes / field.size()));
}

std::string repeat(const std::string &text, u32 count)
{
    std::string all;
    all.reserve(text.size() * count);
    for (u32 i = 0; i < count; ++i) {
        all += text;
    }
    return all;
}

} // namespace support
