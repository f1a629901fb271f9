#pragma once

#include <burdock/retry/retry_budget.hpp>
#include <burdock/serving/entry/fleet.hpp>
#include <burdock/serving/entry/run_table.hpp>
#include <burdock/serving/entry/run_terms.hpp>
#include <burdock/verdict.hpp>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

namespace burdock::serving {

/** @brief Takes an answer as it comes. */
class RunSink
{
public:
    virtual ~RunSink() = default;

    /** @brief The answer begins. False if the caller is gone. */
    virtual boost::asio::awaitable<bool> head(const schema::RunHead &head) = 0;
    virtual boost::asio::awaitable<bool> data(std::string_view data) = 0;
};

enum class RunStatus : u8 {
    Complete,
    Refused, ///< nothing was delivered; the refusal says why
    Broken, ///< a part was delivered, and the rest can't be had
    CallerGone,
};

struct RunResult
{
    RunStatus status = RunStatus::Refused;
    Refusal refusal;
    schema::RunEnd end; ///< if Complete
};

namespace detail {
struct AttemptResult;
}

/** @brief Carries requests through: chooses endpoints, retries, resumes. Thread-safe. */
class RunDriver
{
public:
    RunDriver(Process &process, ConfigHolder &config, Fleet &fleet, RunTable &runs, Duration acceptTimeout);

    [[nodiscard]] boost::asio::awaitable<RunResult> run(const RunSpec &spec, RunSink &sink, const runtime::SpanContext &parent);

private:
    struct Progress;
    class Payer;

    [[nodiscard]] boost::asio::awaitable<RunResult> tryInTurn(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                              const runtime::SpanContext &parent);
    [[nodiscard]] boost::asio::awaitable<detail::AttemptResult> attempt(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                                        const Proposal &proposal, const runtime::SpanContext &parent);
    /** @brief The refusal of a request that is suspected of crashing endpoints, unless it may run. */
    [[nodiscard]] Refusal holdBack(const RunSpec &spec, Progress &progress);
    /** @brief Takes note of a failed attempt; true if another one may follow. */
    [[nodiscard]] bool mayGoOn(const RunSpec &spec, Progress &progress, const detail::AttemptResult &attempted);
    /** @brief Brings a run to the configuration in force now; the reason if it is refused there. */
    [[nodiscard]] RefusalReason takeTerms(const RunSpec &spec, Progress &progress) const;
    [[nodiscard]] std::vector<Proposal> propose(const Progress &progress);
    [[nodiscard]] schema::LinkMessage makeRequest(const RunSpec &spec, const Progress &progress, const Proposal &proposal,
                                                  const schema::RunRef &ref, const runtime::SpanContext &span) const;
    [[nodiscard]] bool spendRetry(const RunTerms &terms);
    void noteRequest(const RunTerms &terms);
    [[nodiscard]] retry::RetryBudget &budgetOf(const RunTerms &terms);

    Process &m_process;
    ConfigHolder &m_config;
    Fleet &m_fleet;
    RunTable &m_runs;
    Duration m_acceptTimeout;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards the budgets
    std::map<std::string, retry::RetryBudget> m_budgets; // by pool
};

} // namespace burdock::serving
