#pragma once

#include <string>
#include <string_view>

namespace burdock::runtime::link {

/** @brief A deployment's CURVE key pair in Z85; every process of the deployment holds the same one. */
struct Keys
{
    std::string publicKey;
    std::string secretKey;
};

/**
 * @brief Generates a key pair.
 * @throws std::system_error if ZeroMQ can't generate it
 */
[[nodiscard]] Keys generateKeys();

/** @brief Whether both keys are valid Z85 and the public key belongs to the secret key. */
[[nodiscard]] bool areValid(const Keys &keys);

} // namespace burdock::runtime::link
