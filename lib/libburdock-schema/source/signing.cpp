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

// Prefixed to the signed data of a change, so that its signature is not valid for a bundle.
constexpr std::string_view ChangeSignatureContext = "burdock change";

template <typename Signed>
std::optional<Signed> signWithContext(std::string_view document, std::string_view context, std::string_view secretKeyHex)
{
    std::array<u8, crypto_sign_SECRETKEYBYTES> secretKey{};
    std::size_t length = 0;
    const int status
        = sodium_hex2bin(secretKey.data(), secretKey.size(), secretKeyHex.data(), secretKeyHex.size(), nullptr, &length, nullptr);
    if (status != 0 || length != secretKey.size()) {
        return std::nullopt;
    }
    const auto text = std::string(context) + std::string(document);
    std::array<u8, crypto_sign_BYTES> signature{};
    crypto_sign_detached(signature.data(), nullptr, asBytes(text), text.size(), secretKey.data());
    std::array<u8, crypto_sign_PUBLICKEYBYTES> publicKey{};
    crypto_sign_ed25519_sk_to_pk(publicKey.data(), secretKey.data());
    Signed signedDocument;
    signedDocument.set_document(std::string(document));
    signedDocument.set_signature(std::string(asText(signature)));
    signedDocument.set_signer(std::string(asText(publicKey)));
    return signedDocument;
}

template <typename Signed>
bool isTrustedWithContext(const Signed &document, std::string_view context, std::span<const std::string> trustedSigners)
{
    if (document.signature().size() != crypto_sign_BYTES || document.signer().size() != crypto_sign_PUBLICKEYBYTES) {
        return false;
    }
    const auto signer = hash::toHex(document.signer());
    if (std::find(trustedSigners.begin(), trustedSigners.end(), signer) == trustedSigners.end()) {
        return false;
    }
    const auto text = std::string(context) + document.document();
    return crypto_sign_verify_detached(asBytes(document.signature()), asBytes(text), text.size(), asBytes(document.signer())) == 0;
}

} // namespace

SigningKey generateSigningKey()
{
    std::array<u8, crypto_sign_PUBLICKEYBYTES> publicKey{};
    std::array<u8, crypto_sign_SECRETKEYBYTES> secretKey{};
    crypto_sign_keypair(publicKey.data(), secretKey.data());
    return {hash::toHex(asText(publicKey)), hash::toHex(asText(secretKey))};
}

std::optional<SignedBundle> sign(std::string_view document, std::string_view secretKeyHex)
{
    return signWithContext<SignedBundle>(document, "", secretKeyHex);
}

bool hasTrustedSignature(const SignedBundle &bundle, std::span<const std::string> trustedSigners)
{
    return isTrustedWithContext(bundle, "", trustedSigners);
}

std::optional<SignedChange> sign(const Change &change, std::string_view secretKeyHex)
{
    return signWithContext<SignedChange>(change.SerializeAsString(), ChangeSignatureContext, secretKeyHex);
}

bool hasTrustedSignature(const SignedChange &change, std::span<const std::string> trustedSigners)
{
    return isTrustedWithContext(change, ChangeSignatureContext, trustedSigners);
}

} // namespace burdock::schema
