#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <string>

/** @brief Small stand-ins for the systems around burdockpaddle, for tests and the demo. */
namespace standins {

using namespace burdock;

/** @brief How the platform behaves. */
enum class PlatformMode : u8 {
    Up,
    Down, ///< closes each connection without an answer, and does nothing
    DropWriteResponses, ///< writes take effect, their answers are lost
    RejectWrites, ///< answers writes with 503, and does nothing
};

/** @brief The object API and the list of VMs, in memory. */
class Platform : private runtime::http::Handler
{
public:
    Platform(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(PlatformMode mode);

    /** @brief Sets the list of VMs, a JSON array of {name, zone, pool, link, admin, state}. */
    void setVms(const std::string &json);

    /** @brief Puts an object there whatever it was, with a version of the caller's choice. */
    void forcePut(const std::string &path, const std::string &value, u64 version);
    /** @brief Loses an object. */
    void erase(const std::string &path);
    [[nodiscard]] std::string value(const std::string &path) const;

    /** @brief Calls received by kind: `read`, `write`, `watch`. */
    [[nodiscard]] u64 requestCount(const std::string &kind) const;
    /** @brief Watches of an object that wait at present. */
    [[nodiscard]] u32 openWatches(const std::string &path) const;

private:
    struct Object
    {
        std::string value;
        u64 version = 0;
    };

    using Counter = std::shared_ptr<std::atomic<u32>>; // shared: a watch may outlive the platform

    [[nodiscard]] Counter waitingAt(const std::string &path) const;
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response put(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response get(const std::string &path) const;
    [[nodiscard]] bool isNewerThan(const std::string &path, u64 version) const;

    mutable std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    u64 m_lastVersion = 0;
    std::map<std::string, u64> m_calls;
    mutable std::map<std::string, Counter> m_waiting;
    std::atomic<PlatformMode> m_mode{PlatformMode::Up};
    runtime::http::Server m_server;
};

} // namespace standins
