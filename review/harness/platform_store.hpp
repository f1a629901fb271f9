#pragma once

#include "http.hpp"

#include <condition_variable>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <mutex>

namespace review {

/** @brief A write to the platform's store that was done. */
struct StoreWrite
{
    std::string method;
    std::string kind;
    std::string name;
    std::string spec; ///< JSON; empty for a removal
    std::size_t door = 0; ///< whose
};

/**
 * @brief Stand-in for the platform's metadata store: objects by kind and name, lists, watches and conditional writes.
 *
 * Each machine has an address of its own at the store (a door), so that the store can treat machines differently.
 */
class PlatformStore
{
public:
    /** @brief Adds an address for one machine. */
    [[nodiscard]] std::string addDoor();

    /** @brief Writes as the operator or a replica does. The spec is sent as it is written here. */
    void put(const std::string &kind, const std::string &name, const std::string &spec);
    void erase(const std::string &kind, const std::string &name);

    /** @brief Called after each write by a door, which is answered only if this returns true. Set before the first machine starts. */
    std::function<bool(const StoreWrite &)> onWrite;

private:
    struct Object
    {
        std::string spec;
        std::string status = "null";
        std::uint64_t revision = 0;
        std::uint64_t createdRevision = 0;
    };
    struct Change
    {
        std::uint64_t revision = 0;
        std::string kind;
        std::string text; ///< event as JSON
    };
    using Key = std::pair<std::string, std::string>;

    Next handle(const Message &request, Peer &peer, std::size_t door);
    [[nodiscard]] std::string list(const std::string &kind);
    [[nodiscard]] std::string watch(const std::string &kind, std::uint64_t since, Milliseconds wait);
    [[nodiscard]] std::string write(const Message &request, const std::string &kind, const std::string &name, StoreWrite &done);
    void noteChange(const std::string &kind, const std::string &name, const Object &object, bool isDeleted);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::uint64_t m_revision = 1;
    std::map<Key, Object> m_objects;
    std::deque<Change> m_changes;
    std::vector<std::unique_ptr<Listener>> m_doors;
};

} // namespace review
