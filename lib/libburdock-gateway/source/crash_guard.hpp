#pragma once

#include <burdock/cache/part_index.hpp>
#include <burdock/endpoints/endpoint_table.hpp>
#include <burdock/retry/crash_attribution.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::gateway {

/** @brief Keeps one request from running while requests like it crash endpoints, and reports how its own runs ended. */
class CrashGuard
{
public:
    /**
     * @param requestHash equal for equal requests of one customer
     * @param parts parts of the prompt; the last one belongs to this request alone
     */
    CrashGuard(retry::CrashAttribution &crashes, u64 requestHash, const std::vector<cache::PromptPart> &parts);

    /** @brief Whether the request may be sent to a first endpoint. */
    [[nodiscard]] bool tryBegin(TimePoint now);

    /** @brief Whether the request may be sent to a further endpoint. */
    [[nodiscard]] bool mayTryElsewhere(TimePoint now);

    /** @brief Records that a part of the answer was received from the endpoint that runs the request. */
    void noteEvent(TimePoint now);

    /** @brief Records that the request isn't sent after tryBegin() has allowed it. */
    void noteNotSent(TimePoint now);

    /** @brief How a run of the request ended. */
    struct RunEnd
    {
        std::string_view endpoint; ///< id
        endpoints::Outcome outcome = endpoints::Outcome::Abandoned;
        bool isSuccess = false; ///< the endpoint answered with success
        TimePoint sentAt{};
        std::optional<TimePoint> begunAt; ///< when the first part of the answer was received
    };
    void noteEnd(const RunEnd &end, TimePoint now);

    /** @brief Time after which the request may be tried again if it was refused. */
    [[nodiscard]] Duration timeUntilTrial(TimePoint now);

    /** @brief For logs: the parts of the prompt that are blamed for crashes, or `request` for the request as a whole. */
    [[nodiscard]] std::string blamed(TimePoint now);

private:
    void returnPermission(TimePoint now);

    retry::CrashAttribution &m_crashes;
    const std::vector<cache::PromptPart> &m_parts;
    retry::CrashAttribution::Features m_features; ///< of the request, and of its parts but the last
    retry::RunPermission m_permission = retry::RunPermission::Free;
    /** Of the current run: when its first and its last event were received, and for how long they have come without a pause. */
    std::optional<TimePoint> m_firstEventAt;
    TimePoint m_lastEventAt{};
    Duration m_answeredFor{};
    bool m_isProgressNoted = false;
};

} // namespace burdock::gateway
