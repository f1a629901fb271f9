#pragma once

#include <burdock/types.hpp>

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace burdock::admission {

/** @brief Estimates in which time requests of a kind usually end. Not thread-safe. */
class AnswerTimes
{
public:
    /** @brief Records how long a request took from its arrival to the end of its answer. */
    void note(std::string_view kind, Duration time);

    /** @brief Time within which most requests of a kind end; zero if none is known. */
    [[nodiscard]] Duration usual(std::string_view kind) const;

    /** @brief Forgets the kinds for which the function returns false. */
    void keepOnly(const std::function<bool(std::string_view)> &isKnown);

private:
    struct Estimate
    {
        Duration mean{};
        Duration deviation{};
    };

    std::map<std::string, Estimate, std::less<>> m_estimates;
};

} // namespace burdock::admission
