#pragma once

#include <burdock/retry/retry_budget.hpp>
#include <burdock/serving/entry/fleet.hpp>
#include <burdock/serving/entry/run_settings.hpp>
#include <burdock/serving/entry/run_table.hpp>
#include <burdock/verdict.hpp>

#include <boost/asio/awaitable.hpp>
#include <map>
#include <string>

namespace burdock::serving {

/** @brief Receives the response of a run as it arrives. Both functions return false if the caller has disconnected. */
class RunSink
{
public:
    virtual ~RunSink() = default;

    virtual boost::asio::awaitable<bool> writeHead(const schema::RunHead &head) = 0;
    virtual boost::asio::awaitable<bool> writeData(std::string_view data) = 0;
};

enum class RunStatus : u8 {
    Complete,
    Refused, ///< nothing was delivered; see the refusal
    Broken, ///< the response was delivered in part and cannot be completed
    CallerDisconnected,
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

/** @brief Executes requests on endpoints: selects endpoints, retries failed attempts and resumes responses. Thread-safe. */
class RunCoordinator
{
public:
    /** @param acceptTimeout  how long an endpoint process may take to send its first message about a run */
    RunCoordinator(Process &process, ConfigHolder &config, Fleet &fleet, RunTable &runs, Duration acceptTimeout);

    [[nodiscard]] boost::asio::awaitable<RunResult> run(const RunSpec &spec, RunSink &sink, const runtime::SpanContext &parent);

private:
    struct Progress;
    class BudgetedFailover;

    [[nodiscard]] boost::asio::awaitable<RunResult> runAttempts(const RunSpec &spec, RunSink &sink, Progress &progress,
                                                                const runtime::SpanContext &parent);
    [[nodiscard]] boost::asio::awaitable<detail::AttemptResult>
    attempt(const RunSpec &spec, RunSink &sink, Progress &progress, const EndpointCandidate &candidate, const runtime::SpanContext &parent);
    /** @brief Whether a request may run, given what its prompt has in common with those that crashed endpoints. */
    [[nodiscard]] bool mayRunWithFeatures(const RunSpec &spec, Progress &progress);
    /** @brief The refusal of a request suspected of crashing endpoints; reason None if it may run, also as the one trial allowed. */
    [[nodiscard]] Refusal checkQuarantine(const RunSpec &spec, Progress &progress);
    /** @brief Records a failed attempt. Returns true if another attempt is allowed. */
    [[nodiscard]] bool handleFailedAttempt(const RunSpec &spec, Progress &progress, const detail::AttemptResult &attemptResult);
    /** @brief Updates the settings of a run to the current configuration; returns the reason if the configuration refuses it. */
    [[nodiscard]] RefusalReason refreshSettings(const RunSpec &spec, Progress &progress) const;
    [[nodiscard]] std::vector<EndpointCandidate> rankEndpoints(const Progress &progress);
    [[nodiscard]] schema::LinkMessage makeRequest(const RunSpec &spec, const Progress &progress, const EndpointCandidate &candidate,
                                                  const schema::RunRef &ref, const runtime::SpanContext &span) const;
    [[nodiscard]] bool trySpendRetry(const RunSettings &settings);
    void noteRequest(const RunSettings &settings);
    [[nodiscard]] retry::RetryBudget &budgetOf(const RunSettings &settings);

    Process &m_process;
    ConfigHolder &m_config;
    Fleet &m_fleet;
    RunTable &m_runs;
    Duration m_acceptTimeout;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards m_budgets
    std::map<std::string, retry::RetryBudget> m_budgets; // by pool
};

} // namespace burdock::serving
