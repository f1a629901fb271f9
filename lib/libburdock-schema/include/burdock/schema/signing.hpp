#pragma once

#include <burdock/bundle.pb.h>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace burdock::schema {

/** @brief An Ed25519 key pair, hex-encoded. */
struct SigningKey
{
    std::string publicKey;
    std::string secretKey;
};

[[nodiscard]] SigningKey generateSigningKey();

/** @brief Signs a document; nothing if the key is not a hex-encoded Ed25519 secret key. */
[[nodiscard]] std::optional<SignedBundle> sign(std::string_view document, std::string_view secretKeyHex);

/** @brief Whether the document is signed by one of the trusted signers, given as hex-encoded public keys. */
[[nodiscard]] bool hasTrustedSignature(const SignedBundle &bundle, std::span<const std::string> trustedSigners);

/** @brief Signs a change; nothing if the key is not a hex-encoded Ed25519 secret key. */
[[nodiscard]] std::optional<SignedChange> sign(const Change &change, std::string_view secretKeyHex);

/** @brief Whether the change is signed by one of the trusted signers, given as hex-encoded public keys. */
[[nodiscard]] bool hasTrustedSignature(const SignedChange &change, std::span<const std::string> trustedSigners);

} // namespace burdock::schema
