#pragma once

#include <burdock/link.pb.h>
#include <burdock/retry/suspect_exchange.hpp>
#include <burdock/runtime/ordered_mutex.hpp>
#include <burdock/serving/process.hpp>

#include <functional>
#include <string>
#include <unordered_map>

namespace burdock::serving {

/** @brief Suspects as one process knows them, and what each of its peers has yet to hear of them. Thread-safe. */
class SuspectBook
{
public:
    /** @param leastCrashesTold records with fewer crashes are not told to peers */
    SuspectBook(Process &process, u32 leastCrashesTold);

    /** @brief Called, with no lock held, whenever peers have something new to hear; set before the first message. */
    void setOnNews(std::function<void()> onNews);

    [[nodiscard]] retry::SuspectState state(u64 fingerprint) const;
    [[nodiscard]] retry::SuspectRecord record(u64 fingerprint) const;

    /** @brief Lets a request that is held back run once if it is time; false if not. */
    [[nodiscard]] bool tryBegin(u64 fingerprint);

    /** @brief A run that tryBegin() let through ended without telling anything. */
    void returnTrial(u64 fingerprint);

    /** @brief Time until a request that is held back may be tried; zero if it is not. */
    [[nodiscard]] Duration timeUntilTrial(u64 fingerprint) const;

    /** @brief Counts a crash; returns all that have been counted. */
    retry::SuspectRecord noteCrash(u64 fingerprint, retry::CrashEvidence evidence);
    void noteSuccess(u64 fingerprint);

    /** @brief Takes over what another process has counted; a maximum, since the same crash is told in several ways. */
    void noteCrashes(const retry::SuspectRecord &record);

    /** @brief Adds to a heartbeat what its receiver has not confirmed. */
    void tell(const std::string &peer, schema::Heartbeat &heartbeat);
    void hear(const std::string &peer, const schema::Heartbeat &heartbeat);

    /** @brief The peer is gone for good. */
    void forget(const std::string &peer);

    /** @brief Changes with each record that peers have to hear of. */
    [[nodiscard]] u64 newsCount() const;

private:
    void announce(bool isNews);
    [[nodiscard]] retry::SuspectExchange &exchange(const std::string &peer);

    Process &m_process;
    u32 m_leastCrashesTold;
    std::function<void()> m_onNews;

    mutable runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards what follows
    retry::Quarantine m_quarantine;
    std::unordered_map<std::string, retry::SuspectExchange> m_exchanges;
    u64 m_newsCount = 0;
};

} // namespace burdock::serving
