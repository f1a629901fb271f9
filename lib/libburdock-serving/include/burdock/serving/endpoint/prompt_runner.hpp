#pragma once

#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/endpoint/engine_watcher.hpp>
#include <burdock/serving/endpoint/kv_cache_offloader.hpp>

namespace burdock::serving {

/** @brief Runs prompts on a model engine. */
class PromptRunner : public BackEndRunner
{
public:
    PromptRunner(Process &process, clients::Engine &engine, EngineWatcher &watch, KvCacheOffloader &cache);

    [[nodiscard]] Refusal check(const schema::RunRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, ResponseStream &outlet, TimePoint deadline,
                                                            const runtime::SpanContext &parent) override;
    [[nodiscard]] boost::asio::awaitable<void> afterEnd(const schema::RunRequest &request) override;
    [[nodiscard]] std::vector<std::string> loaded() const override;

private:
    [[nodiscard]] boost::asio::awaitable<BackEndResult> relay(const clients::GenerateHead &head, clients::Generation &generation,
                                                              ResponseStream &outlet, TimePoint deadline);
    [[nodiscard]] static BackEndResult broken(bool mayHaveRun, std::optional<retry::CrashEvidence> crash, std::string detail);
    [[nodiscard]] boost::asio::awaitable<std::optional<retry::CrashEvidence>> lookForCrash(std::string bootBefore);

    Process &m_process;
    clients::Engine &m_engine;
    EngineWatcher &m_watch;
    KvCacheOffloader &m_cache;
};

} // namespace burdock::serving
