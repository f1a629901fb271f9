#include <burdock/schema/signing.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <sodium.h>

namespace burdock::schema {

namespace {

std::string_view asText(std::span<const u8> bytes)
{
    return {reinterpret_cast<const char *>(bytes.data()), bytes.size()};
}

const u8 *asBytes(std::string_view text)
{
    return reinterpret_cast<const u8 *>(text.data());
}

} // namespace

SigningKey makeSigningKey()
{
    std::array<u8, crypto_sign_PUBLICKEYBYTES> publicKey{};
    std::array<u8, crypto_sign_SECRETKEYBYTES> secretKey{};
    crypto_sign_keypair(publicKey.data(), secretKey.data());
    return {hash::toHex(asText(publicKey)), hash::toHex(asText(secretKey))};
}

std::optional<SignedBundle> sign(std::string_view document, std::string_view secretKeyHex)
{
    std::array<u8, crypto_sign_SECRETKEYBYTES> secretKey{};
    std::size_t length = 0;
    const int status
        = sodium_hex2bin(secretKey.data(), secretKey.size(), secretKeyHex.data(), secretKeyHex.size(), nullptr, &length, nullptr);
    if (status != 0 || length != secretKey.size()) {
        return std::nullopt;
    }
    std::array<u8, crypto_sign_BYTES> signature{};
    crypto_sign_detached(signature.data(), nullptr, asBytes(document), document.size(), secretKey.data());
    std::array<u8, crypto_sign_PUBLICKEYBYTES> publicKey{};
    crypto_sign_ed25519_sk_to_pk(publicKey.data(), secretKey.data());
    SignedBundle bundle;
    bundle.set_document(std::string(document));
    bundle.set_signature(std::string(asText(signature)));
    bundle.set_signer(std::string(asText(publicKey)));
    return bundle;
}

bool isTrusted(const SignedBundle &bundle, std::span<const std::string> trustedSigners)
{
    if (bundle.signature().size() != crypto_sign_BYTES || bundle.signer().size() != crypto_sign_PUBLICKEYBYTES) {
        return false;
    }
    const auto signer = hash::toHex(bundle.signer());
    if (std::find(trustedSigners.begin(), trustedSigners.end(), signer) == trustedSigners.end()) {
        return false;
    }
    const auto &document = bundle.document();
    return crypto_sign_verify_detached(asBytes(bundle.signature()), asBytes(document), document.size(), asBytes(bundle.signer())) == 0;
}

} // namespace burdock::schema
