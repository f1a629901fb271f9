#pragma once

#include <burdock/types.hpp>

#include <string>

namespace burdock::runtime {

/** @brief Source of random data. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** @brief Fills the buffer. Thread-safe. */
    virtual void fill(u8 *bytes, std::size_t size) = 0;

    /** @brief A random 64-bit number. */
    [[nodiscard]] u64 word();
    [[nodiscard]] std::string bytes(std::size_t size);
    [[nodiscard]] std::array<u8, 16> id();
};

/** @brief The operating system's cryptographic random generator; its ids can't be guessed. */
class SystemRandom : public RandomSource
{
public:
    /** @throws std::runtime_error if libsodium can't be initialized */
    SystemRandom();
    void fill(u8 *bytes, std::size_t size) override;
};

} // namespace burdock::runtime
