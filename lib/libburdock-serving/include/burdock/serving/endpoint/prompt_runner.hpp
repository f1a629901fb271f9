#pragma once

#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/endpoint/engine_watcher.hpp>
#include <burdock/serving/endpoint/kv_cache_offloader.hpp>

namespace burdock::serving {

/** @brief Runs prompts on a model engine. */
class PromptRunner : public BackEndRunner
{
public:
    PromptRunner(Process &process, clients::Engine &engine, AdmissionGate &gate, EngineWatcher &engineWatcher,
                 KvCacheOffloader &cacheOffloader);

    [[nodiscard]] Refusal check(const schema::RunRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, admission::Epoch admittedIn,
                                                            ResponseStream &response, TimePoint deadline,
                                                            const runtime::SpanContext &parent) override;
    [[nodiscard]] boost::asio::awaitable<void> onEndSent(const schema::RunRequest &request) override;
    [[nodiscard]] std::vector<std::string> loadedWeights() const override;

private:
    [[nodiscard]] boost::asio::awaitable<BackEndResult> relay(const clients::GenerateHead &head, clients::Generation &generation,
                                                              ResponseStream &response, TimePoint deadline);
    /** @brief Checks the engine after a run could not be sent. */
    [[nodiscard]] boost::asio::awaitable<BackEndResult> notSentResult(admission::Epoch admittedIn);
    [[nodiscard]] static BackEndResult brokenResult(bool mayHaveRun, std::optional<retry::CrashEvidence> crash, std::string detail);
    [[nodiscard]] boost::asio::awaitable<std::optional<retry::CrashEvidence>> checkForCrash(std::string previousBootId);

    Process &m_process;
    clients::Engine &m_engine;
    AdmissionGate &m_gate;
    EngineWatcher &m_engineWatcher;
    KvCacheOffloader &m_cacheOffloader;
};

} // namespace burdock::serving
