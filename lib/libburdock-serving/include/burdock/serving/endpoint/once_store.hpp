#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/link.pb.h>
#include <burdock/once/once_state_machine.hpp>
#include <burdock/serving/process.hpp>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace burdock::serving {

/** @brief Result of claiming a call by its record in the platform store. */
struct OnceClaim
{
    once::Action action = once::Action::Refuse; ///< Run, ReturnRecorded or Refuse
    RefusalReason refusal = RefusalReason::None;
    schema::OnceRecord recorded; ///< set if `action` is ReturnRecorded
    clients::ObjectId id;
    once::Nonce nonce{};
    hash::Digest256 digest{};
    u64 version = 0; ///< of the claimed record, if `action` is Run
};

/** @brief Runs the at-most-once state machine on records in the platform store. Thread-safe. */
class OnceStore
{
public:
    OnceStore(Process &process, clients::ObjectStore &store);

    /** @brief Claims a call for this attempt. */
    [[nodiscard]] boost::asio::awaitable<OnceClaim> claim(const std::string &customer, const schema::ServiceWork &work);

    /** @brief Records the outcome of a call that ran. */
    [[nodiscard]] boost::asio::awaitable<void> recordDone(const OnceClaim &claim, u32 status, const std::string &contentType,
                                                          const std::string &body);

    /** @brief Frees the record of a call that provably never ran, so that a retry can run it. */
    [[nodiscard]] boost::asio::awaitable<void> release(const OnceClaim &claim);

private:
    [[nodiscard]] boost::asio::awaitable<void> replaceOwnClaim(const OnceClaim &claim, const schema::OnceRecord &record);

    Process &m_process;
    clients::ObjectStore &m_store;
};

} // namespace burdock::serving
