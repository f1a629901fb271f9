#pragma once

#include "state.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace burdock::gateway {

/** @brief How it is known that all changes before some time have been seen. */
enum class Evidence : u8 {
    List, ///< read after that time
    Watch, ///< begun after that time; one may hear nothing for a moment though there are changes
};

/** @brief What a watcher does with the objects of its kind. */
struct KindHandlers
{
    std::function<void(const std::vector<StoredObject> &)> onList; ///< all objects of the kind
    std::function<void(const ObjectChanges &)> onChanges;
    std::function<void(TimePoint, Evidence)> onCurrent = nullptr; ///< all changes before this time have been seen; may be empty
    std::function<void(TimePoint)> onHeld = nullptr; ///< a watch was held until this time without a change; may be empty
    std::function<bool()> isUrgent = nullptr; ///< whether requests wait for the next answer; may be empty
};

/**
 * @brief Follows the objects of one kind for as long as the process runs.
 *
 * Reads the whole list again when the store has forgotten its history, and after repeated failures.
 */
class KindWatcher
{
public:
    KindWatcher(const GatewayParts &parts, ObjectKind kind, Duration wait, KindHandlers handlers);

    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] boost::asio::awaitable<bool> readList();
    [[nodiscard]] boost::asio::awaitable<void> followChanges();
    [[nodiscard]] boost::asio::awaitable<void> pauseAfterFailure(StoreResult answer);
    void noteAnswered();

    const GatewayParts &m_parts;
    ObjectKind m_kind;
    Duration m_wait;
    KindHandlers m_handlers;
    u64 m_revision = 0;
    u32 m_failures = 0;
};

} // namespace burdock::gateway
