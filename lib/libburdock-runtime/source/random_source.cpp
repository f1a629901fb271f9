#include <burdock/runtime/random_source.hpp>

#include <cstring>
#include <sodium.h>
#include <stdexcept>

namespace burdock::runtime {

u64 RandomSource::word()
{
    std::array<u8, sizeof(u64)> buffer{};
    fill(buffer.data(), buffer.size());
    u64 out = 0;
    std::memcpy(&out, buffer.data(), sizeof(out));
    return out;
}

std::string RandomSource::bytes(std::size_t size)
{
    std::string out(size, '\0');
    fill(reinterpret_cast<u8 *>(out.data()), size);
    return out;
}

std::array<u8, 16> RandomSource::id()
{
    std::array<u8, 16> out{};
    fill(out.data(), out.size());
    return out;
}

SystemRandom::SystemRandom()
{
    if (sodium_init() < 0) {
        throw std::runtime_error("can't initialize libsodium's random generator");
    }
}

void SystemRandom::fill(u8 *bytes, std::size_t size)
{
    randombytes_buf(bytes, size);
}

} // namespace burdock::runtime
