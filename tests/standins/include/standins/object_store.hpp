#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <boost/json/value.hpp>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

/** @brief How the users' store behaves. */
enum class ObjectStoreMode : u8 {
    Up,
    Down, ///< closes each connection without an answer, and does nothing
    Unavailable, ///< answers 503, and does nothing
    DropsWriteResponses, ///< writes take effect, their answers are lost
    HistoryExpired, ///< answers each watch with 410
    SilentWatches, ///< watches hear nothing of changes
};

/** @brief The object store of the users' platform, in memory: objects by kind and name, lists, watches, conditions. */
class ObjectStore : private runtime::http::Handler
{
public:
    ObjectStore(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(ObjectStoreMode mode);

    /** @brief Gives no answer about objects of this kind, until another kind, or none, is named. */
    void withholdResponses(const std::string &kind);

    /** @brief Writes as the operator or an endpoint does, whatever was there. */
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);
    void erase(const std::string &kind, const std::string &name);
    [[nodiscard]] boost::json::value spec(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::size_t count(const std::string &kind) const;

private:
    struct Object
    {
        boost::json::value spec;
        u64 revision = 0;
    };
    struct Change
    {
        u64 revision = 0;
        std::string kind;
        std::string name;
        bool isDeleted = false;
        boost::json::value spec;
    };
    using Key = std::pair<std::string, std::string>;

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response list(const std::string &kind) const;
    boost::asio::awaitable<runtime::http::Response> watch(std::string kind, u64 revision, Duration wait);
    [[nodiscard]] runtime::http::Response changesSince(const std::string &kind, u64 revision) const;
    [[nodiscard]] bool isHeldBack(const std::string &kind) const;
    [[nodiscard]] bool hasChanges(const std::string &kind, u64 revision) const;
    [[nodiscard]] runtime::http::Response write(const runtime::http::Request &request, const std::string &kind, const std::string &name);
    [[nodiscard]] runtime::http::Response remove(const std::string &kind, const std::string &name);
    void note(const std::string &kind, const std::string &name, bool isDeleted, const boost::json::value &spec);

    mutable std::mutex m_mutex;
    std::map<Key, Object> m_objects;
    std::vector<Change> m_changes;
    u64 m_revision = 1;
    std::string m_heldBack; ///< a kind; empty: none
    std::atomic<ObjectStoreMode> m_mode{ObjectStoreMode::Up};
    runtime::http::Server m_server;
};

} // namespace standins
