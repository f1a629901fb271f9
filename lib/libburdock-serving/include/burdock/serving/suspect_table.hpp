#pragma once

#include <burdock/link.pb.h>
#include <burdock/retry/suspect_exchange.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/process.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace burdock::serving {

/**
 * @brief Requests suspected of crashing endpoints, and what crashing requests have in common, as known to this process, and the exchange of
 * these records with peers. Thread-safe.
 */
class SuspectTable
{
public:
    /** @param minCrashesToShare records with fewer crashes are not sent to peers */
    SuspectTable(Process &process, u32 minCrashesToShare);

    /** @brief Sets a function to call, with no lock held, when there are new records for peers. To be set before the first message. */
    void setUpdateListener(std::function<void()> listener);

    /** @brief State of the request with a given fingerprint. */
    [[nodiscard]] retry::SuspectState state(u64 fingerprint) const;

    /** @brief Record of the request with a given fingerprint; its crash count is 0 if nothing is known. */
    [[nodiscard]] retry::SuspectRecord record(u64 fingerprint) const;

    /** @brief Whether a request may run; for a held request, starts a trial run if one is due. */
    [[nodiscard]] bool tryBegin(u64 fingerprint);

    /** @brief Returns a trial that tryBegin() started, if the end of its run gave no evidence. */
    void returnTrial(u64 fingerprint);

    /** @brief Time until the next trial of a held request is due; zero if the request is not held. */
    [[nodiscard]] Duration timeUntilTrial(u64 fingerprint) const;

    /** @brief Counts a crash; returns the updated record. */
    retry::SuspectRecord noteCrash(u64 fingerprint, retry::CrashEvidence evidence);

    /** @brief Clears a request that ended successfully. */
    void noteSuccess(u64 fingerprint);

    using Features = retry::CrashAttribution::Features;

    /** @brief Whether a request with these features may be sent to a first endpoint; starts a test or trial if one is needed. */
    [[nodiscard]] bool tryBegin(const Features &features);

    /** @brief Whether a request with these features may be sent to a further endpoint. */
    [[nodiscard]] bool mayTryElsewhere(const Features &features);

    /** @brief Makes room for another test or trial, if the end of the run gave no evidence. */
    void returnPermission(const Features &features);

    /** @brief Time until a request with these features may be tried. */
    [[nodiscard]] Duration timeUntilTrial(const Features &features);

    /** @brief Records a crash of this process's endpoint while it was running a request that began at the given time. */
    void noteCrash(const Features &features, TimePoint begun);

    /** @brief Records that a request that began at the given time ended successfully. */
    void noteSuccess(const Features &features, TimePoint begun);

    /** @brief Merges a record of another process. Takes the maximum of the counts, as the same crash is reported in several ways. */
    void noteCrashes(const retry::SuspectRecord &record);

    /** @brief Adds the records that the peer has not acknowledged to a heartbeat for it. */
    void addUpdate(const std::string &peer, schema::Heartbeat &heartbeat);

    /** @brief Merges the records in a heartbeat of a peer. */
    void applyUpdate(const std::string &peer, const schema::Heartbeat &heartbeat);

    /** @brief Drops the exchange state of a peer that doesn't come back. */
    void removePeer(const std::string &peer);

    /** @brief Grows with each record that has to be sent to peers. */
    [[nodiscard]] u64 updateCount() const;

private:
    void notifyListener(bool hasNewRecords);
    [[nodiscard]] retry::SuspectExchange &exchange(const std::string &peer);

    Process &m_process;
    u32 m_minCrashesToShare;
    std::function<void()> m_updateListener;

    mutable runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards the members below
    retry::Quarantine m_quarantine;
    retry::CrashAttribution m_attribution;
    std::unordered_map<std::string, retry::SuspectExchange> m_exchanges;
    u64 m_updateCount = 0;
};

} // namespace burdock::serving
