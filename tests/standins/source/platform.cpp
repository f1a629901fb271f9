#include <standins/platform.hpp>

#include <burdock/runtime/sleep.hpp>

#include <charconv>

namespace standins {

namespace {

using runtime::http::Request;
using runtime::http::Response;

constexpr std::string_view VmsPath = "/v1/vms";
// The platform stores values of at most one megabyte.
constexpr std::size_t MaxValueBytes = 1'000'000;
constexpr Duration WatchPollInterval = std::chrono::milliseconds(10);

u64 parseNumber(std::string_view text)
{
    u64 number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

Response status(u16 code)
{
    Response response;
    response.status = code;
    return response;
}

} // namespace

Platform::Platform(boost::asio::io_context &workers, const std::string &address)
    : m_server(workers, runtime::http::parseAddress(address), {}, *this)
{
}

std::string Platform::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Platform::setMode(PlatformMode mode)
{
    m_mode = mode;
}

void Platform::setVms(const std::string &json)
{
    const std::lock_guard lock(m_mutex);
    m_objects[std::string(VmsPath)] = {json, ++m_lastVersion};
}

void Platform::forcePut(const std::string &path, const std::string &value, u64 version)
{
    const std::lock_guard lock(m_mutex);
    m_objects["/v1/objects/" + path] = {value, version};
}

void Platform::erase(const std::string &path)
{
    const std::lock_guard lock(m_mutex);
    m_objects.erase("/v1/objects/" + path);
}

std::string Platform::value(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find("/v1/objects/" + path);
    return found == m_objects.end() ? std::string() : found->second.value;
}

u64 Platform::requestCount(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_requestCounts.find(kind);
    return found == m_requestCounts.end() ? 0 : found->second;
}

u32 Platform::openWatches(const std::string &path) const
{
    return *watchCounter("/v1/objects/" + path);
}

Platform::Counter Platform::watchCounter(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    auto &counter = m_watchCounters[path];
    if (!counter) {
        counter = std::make_shared<std::atomic<u32>>(0);
    }
    return counter;
}

boost::asio::awaitable<void> Platform::handle(const Request &request, runtime::http::Reply &reply)
{
    const bool isWrite = request.method == "PUT";
    const auto waitMs = parseNumber(request.query("wait_ms"));
    {
        const std::lock_guard lock(m_mutex);
        ++m_requestCounts[isWrite ? "write" : waitMs > 0 ? "watch" : "read"];
    }
    if (m_mode == PlatformMode::Down) {
        co_return;
    }
    if (isWrite) {
        const auto response = m_mode == PlatformMode::RejectWrites ? status(503) : put(request);
        if (m_mode != PlatformMode::DropWriteResponses) {
            co_await reply.send(response);
        }
        co_return;
    }
    const auto path = std::string(request.path());
    const u64 after = parseNumber(request.query("after"));
    if (waitMs == 0) {
        const auto response = get(path);
        co_await reply.send(response);
        co_return;
    }
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(waitMs);
    const auto counter = watchCounter(path);
    ++*counter;
    const std::shared_ptr<void> decrementOnExit(nullptr, [counter](void *) { --*counter; });
    while (std::chrono::steady_clock::now() < deadline && m_mode != PlatformMode::Down) {
        if (hasDifferentVersion(path, after)) {
            const auto response = get(path);
            co_await reply.send(response);
            co_return;
        }
        co_await runtime::sleepFor(WatchPollInterval);
    }
    if (m_mode != PlatformMode::Down) {
        const auto response = status(304);
        co_await reply.send(response);
    }
}

Response Platform::put(const Request &request)
{
    if (request.body.size() > MaxValueBytes) {
        return status(413);
    }
    const auto path = std::string(request.path());
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(path);
    const bool exists = found != m_objects.end();
    const bool mustBeNew = request.header("If-None-Match") == "*";
    const auto expectedVersion = request.header("If-Match");
    const bool isVersionMatch = expectedVersion.empty() || (exists && found->second.version == parseNumber(expectedVersion));
    if ((mustBeNew && exists) || !isVersionMatch) {
        return status(412);
    }
    m_objects[path] = {request.body, ++m_lastVersion};
    auto response = status(200);
    response.headers.emplace_back("Object-Version", std::to_string(m_lastVersion));
    return response;
}

Response Platform::get(const std::string &path) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(path);
    if (found == m_objects.end()) {
        return status(404);
    }
    auto response = status(200);
    response.headers.emplace_back("Object-Version", std::to_string(found->second.version));
    response.body = found->second.value;
    return response;
}

bool Platform::hasDifferentVersion(const std::string &path, u64 version) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find(path);
    return found != m_objects.end() && found->second.version != version;
}

} // namespace standins
