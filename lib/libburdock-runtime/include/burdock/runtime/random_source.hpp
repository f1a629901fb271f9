#pragma once

#include <burdock/types.hpp>

#include <string>

namespace burdock::runtime {

/** @brief Source of random bits. */
class RandomSource
{
public:
    virtual ~RandomSource() = default;

    /** @brief Fills the buffer. Thread-safe. */
    virtual void fill(u8 *bytes, std::size_t size) = 0;

    [[nodiscard]] u64 word();
    [[nodiscard]] std::string bytes(std::size_t size);
    [[nodiscard]] std::array<u8, 16> id();
};

/** @brief The system's cryptographic generator; ids from it can't be guessed by callers. */
class SystemRandom : public RandomSource
{
public:
    SystemRandom();
    void fill(u8 *bytes, std::size_t size) override;
};

} // namespace burdock::runtime
