#pragma once

#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/endpoint/engine_watch.hpp>
#include <burdock/serving/endpoint/kept_cache.hpp>

namespace burdock::serving {

/** @brief Runs prompts on a model engine. */
class PromptRunner : public BackEndRunner
{
public:
    PromptRunner(Process &process, clients::Engine &engine, EngineWatch &watch, KeptCache &cache);

    [[nodiscard]] Refusal check(const schema::RunRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<Conclusion> run(const schema::RunRequest &request, RunOutlet &outlet, TimePoint deadline,
                                                         const runtime::SpanContext &parent) override;
    [[nodiscard]] boost::asio::awaitable<void> afterEnd(const schema::RunRequest &request) override;
    [[nodiscard]] std::vector<std::string> loaded() const override;

private:
    [[nodiscard]] boost::asio::awaitable<Conclusion> relay(const clients::GenerateHead &head, clients::Generation &generation,
                                                           RunOutlet &outlet, TimePoint deadline);
    [[nodiscard]] static Conclusion broken(bool mayHaveRun, std::optional<retry::CrashEvidence> crash, std::string detail);
    [[nodiscard]] boost::asio::awaitable<std::optional<retry::CrashEvidence>> lookForCrash(std::string bootBefore);

    Process &m_process;
    clients::Engine &m_engine;
    EngineWatch &m_watch;
    KeptCache &m_cache;
};

} // namespace burdock::serving
