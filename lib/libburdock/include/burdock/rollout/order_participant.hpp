#pragma once

#include <burdock/rollout/evidence_collector.hpp>
#include <burdock/rollout/exposure_limit.hpp>
#include <burdock/rollout/order_news.hpp>
#include <burdock/rollout/rollout_verdict.hpp>
#include <burdock/rollout/sender_clock.hpp>

#include <map>
#include <optional>
#include <string>

namespace burdock::rollout {

/** @brief One gateway's part in one order: what it may send, what it observes, what it hears and tells. Not thread-safe. */
class OrderParticipant
{
public:
    /**
     * @param share largest share of the service's requests that may be sent to the target
     * @param deafUntil until when nothing of the others is taken, as they may still speak of an earlier order that looks the same
     */
    OrderParticipant(double share, TimePoint learntAt, TimePoint deafUntil);

    /** @brief Returns whether a request may be sent to the target now. */
    [[nodiscard]] bool maySend(TimePoint now) const;

    /** @brief Records that a request was sent to the target. */
    void noteSent();
    /** @brief Records that a request that was sent at the given time was answered by a replica of the service; once a request. */
    void noteAnswered(TimePoint sentAt);
    void note(const Observation &observation, TimePoint now);

    /** @brief Records that this gateway holds the lease and knows the order to be undecided. */
    void noteOwnWord(u64 bootId, u64 token, TimePoint now);

    /** @brief Takes what another gateway tells; false if it was refused. */
    bool take(const std::string &gateway, u64 bootId, const OrderNews &news, RolloutOrder &order, TimePoint now);

    /** @brief Judges by what this gateway and the others have observed so far. */
    void judge(const std::string &ownName, u64 ownBootId, const RolloutOrder &order, TimePoint now);

    /** @brief What to tell the others. */
    [[nodiscard]] OrderNews news(const RolloutOrder &order, TimePoint now) const;

    [[nodiscard]] const RolloutVerdict &verdict() const;
    [[nodiscard]] const ExposureLimit &exposure() const;

private:
    void takeWord(const UndecidedWord &word, TimePoint now);

    ExposureLimit m_exposure;
    EvidenceCollector m_collector;
    EvidenceTotals m_totals;
    RolloutVerdict m_verdict;
    std::map<u64, SenderClock> m_holders; ///< by boot id
    std::optional<UndecidedWord> m_word;
    TimePoint m_deafUntil;
};

} // namespace burdock::rollout
