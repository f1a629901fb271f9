#include <burdock/admission/fair_queue.hpp>

#include <algorithm>

namespace burdock::admission {

void FairQueue::push(const AdmissionRequest &request)
{
    auto [it, isNew] = m_flows.try_emplace(request.customer);
    if (isNew) {
        const auto finish = m_finishTimes.find(request.customer);
        it->second.virtualStart = std::max(m_virtualTime, finish == m_finishTimes.end() ? 0.0 : finish->second);
    }
    it->second.waiting.push_back(request);
    ++m_size;
}

FairQueue::Flows::const_iterator FairQueue::nextFlow() const
{
    const auto isBefore = [](const auto &left, const auto &right) {
        const auto &leftHead = left.second.waiting.front();
        const auto &rightHead = right.second.waiting.front();
        if (leftHead.priority != rightHead.priority) {
            return leftHead.priority > rightHead.priority;
        }
        return left.second.virtualStart < right.second.virtualStart;
    };
    return std::min_element(m_flows.begin(), m_flows.end(), isBefore);
}

std::optional<AdmissionRequest> FairQueue::pop()
{
    if (m_flows.empty()) {
        return std::nullopt;
    }
    const auto it = m_flows.find(nextFlow()->first);
    auto request = std::move(it->second.waiting.front());
    it->second.waiting.pop_front();
    --m_size;
    m_virtualTime = std::max(m_virtualTime, it->second.virtualStart);
    it->second.virtualStart += request.cost;
    removeIfEmpty(it);
    return request;
}

void FairQueue::removeIfEmpty(Flows::iterator flow)
{
    if (!flow->second.waiting.empty()) {
        return;
    }
    m_finishTimes[flow->first] = flow->second.virtualStart;
    m_flows.erase(flow);
    // A finish time that virtual time has reached has the same effect as a missing one.
    std::erase_if(m_finishTimes, [this](const auto &entry) { return entry.second <= m_virtualTime; });
}

std::vector<AdmissionRequest> FairQueue::takeExpired(TimePoint now)
{
    std::vector<AdmissionRequest> expired;
    for (auto it = m_flows.begin(); it != m_flows.end();) {
        auto flow = it++;
        auto &waiting = flow->second.waiting;
        const auto isExpired = [now](const AdmissionRequest &request) {
            return request.deadline <= now;
        };
        std::copy_if(waiting.begin(), waiting.end(), std::back_inserter(expired), isExpired);
        m_size -= std::erase_if(waiting, isExpired);
        removeIfEmpty(flow);
    }
    return expired;
}

bool FairQueue::remove(Ticket ticket)
{
    for (auto it = m_flows.begin(); it != m_flows.end(); ++it) {
        const auto removed = std::erase_if(it->second.waiting, [ticket](const auto &request) { return request.ticket == ticket; });
        if (removed > 0) {
            m_size -= removed;
            removeIfEmpty(it);
            return true;
        }
    }
    return false;
}

std::optional<AdmissionRequest> FairQueue::evictFor(const std::string &customer)
{
    const auto largest = std::max_element(m_flows.begin(), m_flows.end(), [](const auto &left, const auto &right) {
        return left.second.waiting.size() < right.second.waiting.size();
    });
    if (largest == m_flows.end()) {
        return std::nullopt;
    }
    const auto own = m_flows.find(customer);
    const std::size_t ownWaiting = own == m_flows.end() ? 0 : own->second.waiting.size();
    if (largest->second.waiting.size() <= ownWaiting + 1) {
        return std::nullopt;
    }
    auto victim = std::move(largest->second.waiting.back());
    largest->second.waiting.pop_back();
    --m_size;
    removeIfEmpty(largest);
    return victim;
}

std::size_t FairQueue::size() const
{
    return m_size;
}

} // namespace burdock::admission
