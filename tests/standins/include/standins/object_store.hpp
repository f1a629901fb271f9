#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <boost/json/value.hpp>
#include <limits>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

/** @brief Behaviour of the object store. */
enum class ObjectStoreMode : u8 {
    Up,
    Down, ///< closes each connection without executing the request
    Unavailable, ///< responds with 503 without executing the request
    DropsWriteResponses, ///< executes writes but sends no response to them
    HistoryExpired, ///< responds to each watch with 410
    SilentWatches, ///< watches report no changes
};

/**
 * @brief In-memory object store of the users' platform: objects by kind and name, with lists, watches and conditional writes.
 *
 * Responds with 400 to names that aren't percent-encoded, to parameters that it doesn't know, and to a path that names another object than
 * the body.
 */
class ObjectStore : private runtime::http::Handler
{
public:
    ObjectStore(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(ObjectStoreMode mode);

    /** @brief Withholds responses about objects of this kind until called with another kind, or with an empty string for none. */
    void withholdResponses(const std::string &kind);

    /** @brief Executes writes of objects of this kind without a response until called with another kind, or with an empty string for none.
     */
    void dropWriteResponses(const std::string &kind);

    /** @brief Lists at most this many objects a page. */
    void setPageSize(std::size_t objects);
    /** @brief Makes each list of a kind claim that more objects follow, and repeat its last page, until called with an empty string. */
    void repeatPages(const std::string &kind);
    /** @brief Makes watches of a kind end at once with nothing, until called with an empty string. */
    void cutWatches(const std::string &kind);
    /** @brief Number of watches that were cut. */
    [[nodiscard]] u64 watchesCut() const;
    /** @brief Number of lists, one a page, and watches that were asked for. */
    [[nodiscard]] u64 reads() const;

    /** @brief Writes unconditionally, as the operator or an endpoint would. */
    void put(const std::string &kind, const std::string &name, const boost::json::value &spec);
    /** @brief Writes an object whose spec is sent as this JSON text, which no parser need be able to read. */
    void putText(const std::string &kind, const std::string &name, const std::string &specText);
    void erase(const std::string &kind, const std::string &name);
    [[nodiscard]] boost::json::value spec(const std::string &kind, const std::string &name) const;
    /** @brief Status of an object; null if there is none. Removed when the object is put again. */
    [[nodiscard]] boost::json::value status(const std::string &kind, const std::string &name) const;
    [[nodiscard]] std::size_t count(const std::string &kind) const;

private:
    struct Object
    {
        boost::json::value spec;
        boost::json::value status;
        u64 revision = 0;
        u64 createdRevision = 0;
    };
    struct Change
    {
        u64 revision = 0;
        std::string kind;
        std::string name;
        bool isDeleted = false;
        Object object;
    };
    using Key = std::pair<std::string, std::string>;

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response list(const std::string &kind, const std::string &after) const;
    boost::asio::awaitable<runtime::http::Response> watch(std::string kind, u64 revision, Duration wait);
    [[nodiscard]] runtime::http::Response changesSince(const std::string &kind, u64 revision) const;
    [[nodiscard]] runtime::http::Response withSpecTexts(runtime::http::Response response) const;
    [[nodiscard]] bool isWithheld(const std::string &kind) const;
    [[nodiscard]] bool isCut(const std::string &kind) const;
    [[nodiscard]] bool isUnanswered(const std::string &kind) const;
    [[nodiscard]] bool hasChanges(const std::string &kind, u64 revision) const;
    [[nodiscard]] runtime::http::Response write(const runtime::http::Request &request, const std::string &kind, const std::string &name);
    [[nodiscard]] runtime::http::Response remove(const std::string &kind, const std::string &name);
    void noteChange(const std::string &kind, const std::string &name, bool isDeleted, const boost::json::value &spec,
                    const boost::json::value &status = nullptr);

    mutable std::mutex m_mutex;
    std::map<Key, Object> m_objects;
    std::vector<Change> m_changes;
    std::map<std::string, std::string> m_specTexts; ///< by the serialized spec that they replace
    u64 m_revision = 1;
    std::string m_withheldKind; ///< empty for none
    std::string m_repeatedKind; ///< empty for none
    std::string m_cutKind; ///< empty for none
    std::size_t m_pageSize = std::numeric_limits<std::size_t>::max();
    std::atomic<u64> m_reads{0};
    std::atomic<u64> m_watchesCut{0};
    std::string m_unansweredKind; ///< of which writes get no response; empty for none
    std::atomic<ObjectStoreMode> m_mode{ObjectStoreMode::Up};
    runtime::http::Server m_server;
};

} // namespace standins
