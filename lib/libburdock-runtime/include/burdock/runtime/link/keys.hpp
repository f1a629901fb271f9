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

[[nodiscard]] Keys makeKeys();

/** @brief True if both keys decode and belong together. */
[[nodiscard]] bool areValid(const Keys &keys);

} // namespace burdock::runtime::link
