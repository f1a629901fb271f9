#pragma once

#include "gateway_state.hpp"
#include "reading_exchange.hpp"

#include <boost/asio/awaitable.hpp>
#include <functional>

namespace burdock::gateway {

/** @brief Source of the information that all changes before some time have been received. */
enum class SyncSource : u8 {
    List, ///< a list that was read after that time
    Watch, ///< a watch that started after that time; it may miss changes for a moment
};

/** @brief Callbacks of a watcher. */
struct ObjectHandlers
{
    std::function<void(const std::vector<StoredObject> &)> onList; ///< all objects of the kind
    std::function<void(const ObjectChanges &)> onChanges;
    std::function<void(TimePoint, SyncSource)> onSynced = nullptr; ///< all changes before this time have been received; may be empty
    std::function<void(TimePoint)> onIdleWatch = nullptr; ///< a watch waited until this time without a change; may be empty
    std::function<bool()> isUrgent = nullptr; ///< whether requests depend on the next response; may be empty
};

/**
 * @brief Tracks the objects of one kind until the process ends.
 *
 * Leaves the reading to other entries while these do it, see ReadingExchange. Reads the full list again when the store no longer has the
 * history since the last revision, and after repeated failures.
 */
class ObjectWatcher
{
public:
    ObjectWatcher(const GatewayDependencies &dependencies, ObjectKind kind, Duration wait, ObjectHandlers handlers,
                  ReadingExchange &reading);

    [[nodiscard]] boost::asio::awaitable<void> run();

private:
    [[nodiscard]] boost::asio::awaitable<bool> readList();
    [[nodiscard]] boost::asio::awaitable<void> followChanges();
    [[nodiscard]] boost::asio::awaitable<void> delayAfterFailure(StoreResult status);
    void noteSuccess();

    const GatewayDependencies &m_dependencies;
    ObjectKind m_kind;
    Duration m_wait;
    ObjectHandlers m_handlers;
    ReadingExchange &m_reading;
    u32 m_failures = 0;
    bool m_mustList = true; ///< what others know can't replace a list
};

} // namespace burdock::gateway
