#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdock::admission {

/** @brief Names a request to the admission controller; chosen by the caller, unique while the request is known. */
using Ticket = u64;

/** @brief One request that asks for room at an endpoint. */
struct AdmissionRequest
{
    Ticket ticket = 0;
    std::string customer;
    /** Higher goes first. */
    i32 priority = 0;
    /** Expected work, in tokens or any unit that is the same for all requests of the endpoint. */
    double cost = 1;
    TimePoint deadline{};
    /** True for a request that was under way at a crash of an endpoint. */
    bool isSuspect = false;
};

/**
 * @brief Waiting requests of one endpoint, fair among customers.
 *
 * The next request is the oldest of the customer that has been served least (start-time fair queueing over cost) within the
 * highest priority. A customer that comes back after idling starts level with the others and can't save up service.
 * Not thread-safe.
 */
class FairQueue
{
public:
    void push(const AdmissionRequest &request);

    /** @brief Takes the next request. */
    [[nodiscard]] std::optional<AdmissionRequest> pop();

    /** @brief Takes out all requests whose deadline has passed. */
    [[nodiscard]] std::vector<AdmissionRequest> takeExpired(TimePoint now);

    /** @brief Takes out one request, if it waits. */
    bool remove(Ticket ticket);

    /** @brief Takes the newest request of the customer with the most waiting, unless that is no more than the other has. */
    [[nodiscard]] std::optional<AdmissionRequest> evictFor(const std::string &customer);

    [[nodiscard]] std::size_t size() const;

private:
    struct Flow
    {
        double virtualStart = 0;
        std::deque<AdmissionRequest> waiting;
    };
    using Flows = std::map<std::string, Flow>;

    [[nodiscard]] Flows::const_iterator nextFlow() const;
    void dropIfEmpty(Flows::iterator flow);

    Flows m_flows;
    std::map<std::string, double> m_finishTimes;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace burdock::admission
