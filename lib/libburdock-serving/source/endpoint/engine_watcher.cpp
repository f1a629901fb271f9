#include <burdock/serving/endpoint/engine_watcher.hpp>

#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(200);

} // namespace

EngineWatcher::EngineWatcher(Process &process, clients::Engine &engine, AdmissionGate &gate, KvCacheOffloader &cacheOffloader)
    : m_process(process)
    , m_engine(engine)
    , m_gate(gate)
    , m_cacheOffloader(cacheOffloader)
{
}

boost::asio::awaitable<void> EngineWatcher::run()
{
    while (true) {
        co_await refresh();
        co_await runtime::sleepFor(PollInterval);
    }
}

boost::asio::awaitable<bool> EngineWatcher::refresh()
{
    const auto query = m_gate.runningQuery();
    const auto state = co_await m_engine.state();
    if (state.isReachable) {
        noteBootId(state.bootId);
        m_gate.noteReportedRunning(query, state.running.value_or(0));
        setLoadedWeights(state.loadedVersions);
    } else {
        noteUnreachable();
    }
    co_return state.isReachable;
}

boost::asio::awaitable<bool> EngineWatcher::refreshAfterFailure()
{
    m_gate.hold();
    const bool isReachable = co_await refresh();
    m_gate.release();
    co_return isReachable;
}

void EngineWatcher::noteBootId(const std::string &bootId)
{
    {
        const std::lock_guard lock(m_mutex);
        m_isReachable = true;
    }
    if (m_gate.noteBootId(bootId)) {
        m_process.metrics.count("burdock_endpoint_restarts_total");
        m_process.logger.event(runtime::LogLevel::Warning, "endpoint_restarted", {{"boot_id", std::string_view(bootId)}});
        m_cacheOffloader.forgetEngineBlocks();
    }
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
    m_cacheOffloader.forgetEngineBlocks();
}

void EngineWatcher::setLoadedWeights(std::vector<std::string> weightNames)
{
    const std::lock_guard lock(m_mutex);
    m_loadedWeights = std::move(weightNames);
}

std::vector<std::string> EngineWatcher::loadedWeights() const
{
    const std::lock_guard lock(m_mutex);
    return m_loadedWeights;
}

bool EngineWatcher::hasLoaded(const std::string &weightName) const
{
    const std::lock_guard lock(m_mutex);
    return std::find(m_loadedWeights.begin(), m_loadedWeights.end(), weightName) != m_loadedWeights.end();
}

bool EngineWatcher::isReachable() const
{
    const std::lock_guard lock(m_mutex);
    return m_isReachable;
}

} // namespace burdock::serving
