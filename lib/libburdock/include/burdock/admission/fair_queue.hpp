#pragma once

#include <burdock/types.hpp>

#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace burdock::admission {

/** @brief Identifies a request; chosen by the caller, unique until the request has left the admission controller. */
using Ticket = u64;

/** @brief A request for admission at an endpoint. */
struct AdmissionRequest
{
    Ticket ticket = 0;
    std::string customer;
    /** Higher values are served first. */
    i32 priority = 0;
    /** Expected work, in tokens or any other unit that all requests of the endpoint share. */
    double cost = 1;
    TimePoint deadline{};
    /** True if the request was running at an endpoint when that endpoint crashed. */
    bool isSuspect = false;
};

/**
 * @brief Queue of one endpoint that shares service fairly among customers.
 *
 * Serves the highest priority first and, within it, the oldest request of the customer that has received the least service
 * (start-time fair queueing by cost). A customer that returns after an idle period gets no credit for it. Not thread-safe.
 */
class FairQueue
{
public:
    void push(const AdmissionRequest &request);

    /** @brief Removes and returns the next request. */
    [[nodiscard]] std::optional<AdmissionRequest> pop();

    /** @brief Removes and returns all requests whose deadline has passed. */
    [[nodiscard]] std::vector<AdmissionRequest> takeExpired(TimePoint now);

    /** @brief Removes one request; returns false if it is not queued. */
    bool remove(Ticket ticket);

    /**
     * @brief Removes the newest request of the customer with the most queued requests, to make room for one of `customer`.
     * @return nothing unless that customer has at least two more queued requests than `customer`
     */
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
    void removeIfEmpty(Flows::iterator flow);

    Flows m_flows;
    std::map<std::string, double> m_finishTimes;
    double m_virtualTime = 0;
    std::size_t m_size = 0;
};

} // namespace burdock::admission
