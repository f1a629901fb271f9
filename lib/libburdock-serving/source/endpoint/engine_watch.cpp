#include <burdock/serving/endpoint/engine_watch.hpp>

#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

constexpr Duration PollPause = std::chrono::milliseconds(200);

} // namespace

EngineWatch::EngineWatch(Process &process, clients::Engine &engine, AdmissionGate &gate, KeptCache &cache)
    : m_process(process)
    , m_engine(engine)
    , m_gate(gate)
    , m_cache(cache)
{
}

boost::asio::awaitable<void> EngineWatch::run()
{
    while (true) {
        co_await look();
        co_await runtime::sleepFor(PollPause);
    }
}

boost::asio::awaitable<bool> EngineWatch::look()
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

boost::asio::awaitable<bool> EngineWatch::lookAfterBreak()
{
    m_gate.hold();
    const bool isReachable = co_await look();
    m_gate.release();
    co_return isReachable;
}

bool EngineWatch::noteBootId(const std::string &bootId)
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

void EngineWatch::noteUnreachable()
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

void EngineWatch::setLoaded(std::vector<std::string> loaded)
{
    const std::lock_guard lock(m_mutex);
    m_loaded = std::move(loaded);
}

std::vector<std::string> EngineWatch::loaded() const
{
    const std::lock_guard lock(m_mutex);
    return m_loaded;
}

bool EngineWatch::hasLoaded(const std::string &weightName) const
{
    const std::lock_guard lock(m_mutex);
    return std::find(m_loaded.begin(), m_loaded.end(), weightName) != m_loaded.end();
}

bool EngineWatch::isReachable() const
{
    const std::lock_guard lock(m_mutex);
    return m_isReachable;
}

std::string EngineWatch::bootId() const
{
    const std::lock_guard lock(m_mutex);
    return m_bootId;
}

} // namespace burdock::serving
