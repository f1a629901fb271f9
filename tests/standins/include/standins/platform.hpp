#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/** @brief Stand-ins for the systems around burdockpaddle, for tests and the demo. */
namespace standins {

using namespace burdock;

/** @brief Behaviour of the platform. */
enum class PlatformMode : u8 {
    Up,
    Down, ///< closes each connection without executing the request
    DropWriteResponses, ///< executes writes but sends no response to them
    RejectWrites, ///< responds to writes with 503 without executing them
};

/** @brief In-memory platform with the object API and the list of VMs. */
class Platform : private runtime::http::Handler
{
public:
    Platform(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(PlatformMode mode);

    /** @brief Sets the list of VMs, a JSON array of {name, zone, pool, link, admin, state}. */
    void setVms(const std::string &json);

    /** @brief Writes an object unconditionally with the given version. */
    void forcePut(const std::string &path, const std::string &value, u64 version);
    /** @brief Removes an object, as a platform that lost it. */
    void erase(const std::string &path);
    [[nodiscard]] std::string value(const std::string &path) const;

    /** @brief Number of requests received of a kind: `read`, `write` or `watch`. */
    [[nodiscard]] u64 requestCount(const std::string &kind) const;
    /** @brief Number of watches of an object that are waiting. */
    [[nodiscard]] u32 openWatches(const std::string &path) const;

private:
    struct Object
    {
        std::string value;
        u64 version = 0;
    };

    using Counter = std::shared_ptr<std::atomic<u32>>; // shared: a watch may outlive the platform

    [[nodiscard]] Counter watchCounter(const std::string &path) const;
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response put(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response get(const std::string &path) const;
    [[nodiscard]] bool hasDifferentVersion(const std::string &path, u64 version) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    u64 m_lastVersion = 0;
    std::map<std::string, u64> m_requestCounts;
    mutable std::map<std::string, Counter> m_watchCounters;
    std::atomic<PlatformMode> m_mode{PlatformMode::Up};
    runtime::http::Server m_server;
};

} // namespace standins
