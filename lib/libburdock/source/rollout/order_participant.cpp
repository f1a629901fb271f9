#include <burdock/rollout/order_participant.hpp>

#include <algorithm>

namespace burdock::rollout {

namespace {

/** Processes that may hold the lease during one order; limits the memory that messages can take. */
constexpr std::size_t MaxHolders = 64;

} // namespace

OrderParticipant::OrderParticipant(double share, TimePoint learntAt, TimePoint deafUntil)
    : m_exposure(share, learntAt)
    , m_deafUntil(deafUntil)
{
}

bool OrderParticipant::maySend(TimePoint now) const
{
    return !m_verdict.isBad() && m_exposure.maySend(now);
}

void OrderParticipant::noteSent()
{
    m_exposure.noteSent();
}

void OrderParticipant::noteAnswered(TimePoint sentAt)
{
    m_exposure.noteAnswered(sentAt);
}

void OrderParticipant::note(const Observation &observation, TimePoint now)
{
    m_collector.note(observation, now);
}

void OrderParticipant::noteOwnWord(u64 bootId, u64 token, TimePoint now)
{
    m_word = UndecidedWord{bootId, token, now.time_since_epoch()};
    m_exposure.noteUndecided(now);
}

bool OrderParticipant::take(const std::string &gateway, u64 bootId, const OrderNews &news, RolloutOrder &order, TimePoint now)
{
    if (now < m_deafUntil || news.knownFor < Duration::zero()) {
        return false;
    }
    if (!m_totals.take(gateway, bootId, news.evidence)) {
        return false;
    }
    order.noteKnownSince(now - std::min(news.knownFor, order.record().duration));
    if (news.state != OrderState::Active) {
        order.noteDecided(news.state);
    } else if (news.word) {
        takeWord(*news.word, now);
    }
    return true;
}

void OrderParticipant::judge(const std::string &ownName, u64 ownBootId, const RolloutOrder &order, TimePoint now)
{
    static_cast<void>(m_totals.take(ownName, ownBootId, m_collector.evidence()));
    m_verdict.update(m_totals.totals(), now);
    if (order.state() != OrderState::Active) {
        m_exposure.end();
    }
}

OrderNews OrderParticipant::news(const RolloutOrder &order, TimePoint now) const
{
    const auto knownSince = order.deadline() - order.record().duration;
    return {order.state(), now - knownSince, m_word, m_collector.evidence()};
}

const RolloutVerdict &OrderParticipant::verdict() const
{
    return m_verdict;
}

const ExposureLimit &OrderParticipant::exposure() const
{
    return m_exposure;
}

// A word that is relayed keeps the time at which the holder spoke it, so no two gateways can keep each other believing.
void OrderParticipant::takeWord(const UndecidedWord &word, TimePoint now)
{
    const bool isKnown = m_holders.count(word.holderBootId) > 0;
    if (!isKnown && m_holders.size() >= MaxHolders) {
        return;
    }
    const auto spokenAt = m_holders[word.holderBootId].noteReceived(word.toldAt, now);
    if (m_word && !word.isNewerThan(*m_word)) {
        return;
    }
    m_word = word;
    if (spokenAt) {
        m_exposure.noteUndecided(std::min(*spokenAt, now));
    }
}

} // namespace burdock::rollout
