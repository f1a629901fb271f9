#include <burdock/serving/endpoint/engine_watcher.hpp>

#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

constexpr Duration PollPause = std::chrono::milliseconds(200);

} // namespace

EngineWatcher::EngineWatcher(Process &process, clients::Engine &engine, AdmissionGate &gate, KvCacheOffloader &cache)
    : m_process(process)
    , m_engine(engine)
    , m_gate(gate)
    , m_cache(cache)
{
}

boost::asio::awaitable<void> EngineWatcher::run()
{
    while (true) {
        co_await look();
        co_await runtime::sleepFor(PollPause);
    }
}

boost::asio::awaitable<bool> EngineWatcher::look()
{
    const auto state = co_await m_engine.state();
    if (state.isReachable) {
        noteBootId(state.bootId);
        setLoaded(state.loadedVersions);
    } else {
        noteUnreachable();
    }
    co_return state.isReachable;
}

boost::asio::awaitable<bool> EngineWatcher::lookAfterBreak()
{
    m_gate.hold();
    const bool isReachable = co_await look();
    m_gate.release();
    co_return isReachable;
}

bool EngineWatcher::noteBootId(const std::string &bootId)
{
    bool isRestart = false;
    {
        const std::lock_guard lock(m_mutex);
        m_isReachable = true;
        isRestart = !m_bootId.empty() && m_bootId != bootId;
        m_bootId = bootId;
    }
    if (isRestart) {
        m_process.metrics.count("burdock_endpoint_restarts_total");
        m_process.logger.event(runtime::LogLevel::Warning, "endpoint_restarted", {{"boot_id", std::string_view(bootId)}});
        m_gate.noteRestart();
        m_cache.forgetEngine();
    }
    return isRestart;
}

void EngineWatcher::noteUnreachable()
{
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isReachable) {
            return;
        }
        m_isReachable = false;
    }
    m_process.logger.event(runtime::LogLevel::Warning, "endpoint_unreachable");
    m_gate.noteRestart();
    m_cache.forgetEngine();
}

void EngineWatcher::setLoaded(std::vector<std::string> loaded)
{
    const std::lock_guard lock(m_mutex);
    m_loaded = std::move(loaded);
}

std::vector<std::string> EngineWatcher::loaded() const
{
    const std::lock_guard lock(m_mutex);
    return m_loaded;
}

bool EngineWatcher::hasLoaded(const std::string &weightName) const
{
    const std::lock_guard lock(m_mutex);
    return std::find(m_loaded.begin(), m_loaded.end(), weightName) != m_loaded.end();
}

bool EngineWatcher::isReachable() const
{
    const std::lock_guard lock(m_mutex);
    return m_isReachable;
}

std::string EngineWatcher::bootId() const
{
    const std::lock_guard lock(m_mutex);
    return m_bootId;
}

} // namespace burdock::serving
