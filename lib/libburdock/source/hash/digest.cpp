#include <burdock/hash/digest.hpp>

#include <sodium.h>
#include <xxhash.h>

namespace burdock::hash {

namespace {

template <std::size_t Size>
std::array<u8, Size> digestOf(std::initializer_list<std::string_view> fields)
{
    crypto_generichash_state state;
    crypto_generichash_init(&state, nullptr, 0, Size);
    for (const auto field : fields) {
        const u64 length = field.size();
        std::array<u8, sizeof(length)> prefix{};
        for (std::size_t i = 0; i < prefix.size(); ++i) {
            prefix.at(i) = static_cast<u8>(length >> (8 * i));
        }
        crypto_generichash_update(&state, prefix.data(), prefix.size());
        crypto_generichash_update(&state, reinterpret_cast<const u8 *>(field.data()), field.size());
    }
    std::array<u8, Size> out{};
    crypto_generichash_final(&state, out.data(), out.size());
    return out;
}

} // namespace

Digest128 digest128(std::initializer_list<std::string_view> fields)
{
    return digestOf<16>(fields);
}

Digest256 digest256(std::initializer_list<std::string_view> fields)
{
    return digestOf<32>(fields);
}

Digest256 plainDigest256(std::string_view text)
{
    Digest256 out{};
    crypto_generichash(out.data(), out.size(), reinterpret_cast<const u8 *>(text.data()), text.size(), nullptr, 0);
    return out;
}

u64 hash64(std::string_view text, u64 seed)
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

std::string toHex(std::string_view bytes)
{
    std::string out(bytes.size() * 2 + 1, '\0');
    sodium_bin2hex(out.data(), out.size(), reinterpret_cast<const u8 *>(bytes.data()), bytes.size());
    out.pop_back();
    return out;
}

std::string_view asBytes(const Digest128 &digest)
{
    return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

std::string_view asBytes(const Digest256 &digest)
{
    return {reinterpret_cast<const char *>(digest.data()), digest.size()};
}

} // namespace burdock::hash
