#pragma once

#include <burdock/serving/config/config_holder.hpp>
#include <burdock/serving/endpoint/admission_gate.hpp>
#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/suspect_table.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <unordered_map>

namespace burdock::serving {

/** @brief Starts, resumes and forgets the runs of one endpoint process. Thread-safe. */
class RunRegistry
{
public:
    RunRegistry(Process &process, ConfigHolder &config, AdmissionGate &gate, BackEndRunner &runner, SuspectTable &suspects,
                std::size_t bufferBytes);

    /** @brief Sets the server that sends responses; must be called once before the first message. */
    void setServer(runtime::link::Server &server);

    void start(const runtime::link::PeerId &peer, const schema::RunRequest &request);
    void resume(const runtime::link::PeerId &peer, const schema::RunResume &resume);
    void acknowledge(const schema::RunAck &ack);
    void cancel(const schema::RunCancel &cancel);

    /** @brief Records that a message from a peer has arrived. */
    void notePeer(const runtime::link::PeerId &peer);
    /** @brief The peers heard from within the last minute. */
    [[nodiscard]] std::vector<runtime::link::PeerId> peers() const;

    /** @brief Until the process stops, forgets runs that are over and cancels prompts whose entry has been silent for too long. */
    [[nodiscard]] boost::asio::awaitable<void> sweepLoop();

    /** @brief Refuses all new runs from now on. */
    void setLeaving();
    [[nodiscard]] bool isLeaving() const;

    /** @brief True once no run is active and every response has been delivered. */
    [[nodiscard]] bool isIdle() const;

    [[nodiscard]] schema::EndpointLoad load() const;

private:
    struct RunRecord
    {
        std::shared_ptr<ResponseStream> response; // shared with the run's coroutine; null for an attempt that must never run here
        bool isPrompt = false;
        TimePoint lastActive{};
    };

    [[nodiscard]] static std::string runKey(const schema::RunRef &ref);
    [[nodiscard]] std::shared_ptr<ResponseStream> findResponse(const schema::RunRef &ref);
    [[nodiscard]] boost::asio::awaitable<void> execute(schema::RunRequest request, std::shared_ptr<ResponseStream> response,
                                                       std::shared_ptr<RunSignals> signals, TimePoint deadline);
    /** @brief Runs a request once it is admitted; returns the refusal if it did not run, otherwise RefusalReason::None. */
    [[nodiscard]] boost::asio::awaitable<Refusal> admitAndRun(const schema::RunRequest &request, ResponseStream &response,
                                                              std::shared_ptr<RunSignals> signals, TimePoint deadline,
                                                              const runtime::SpanContext &span);
    [[nodiscard]] bool isRefusedAsSuspect(const schema::RunRequest &request) const;
    [[nodiscard]] Refusal checkEligibility(const schema::RunRequest &request) const;
    void noteOutcome(const schema::RunRequest &request, TimePoint startTime, BackEndResult &result);
    void refuse(ResponseStream &response, const Refusal &refusal);
    void sweep();

    Process &m_process;
    ConfigHolder &m_config;
    AdmissionGate &m_gate;
    BackEndRunner &m_runner;
    SuspectTable &m_suspects;
    std::size_t m_bufferBytes;
    runtime::link::Server *m_server = nullptr;
    std::atomic<bool> m_isLeaving{false};
    std::atomic<u32> m_activeCoroutines{0};

    mutable runtime::OrderedMutex<runtime::LockLevel::Runs> m_mutex; // guards the members below
    std::unordered_map<std::string, RunRecord> m_runs;
    std::unordered_map<runtime::link::PeerId, TimePoint> m_peers;
};

} // namespace burdock::serving
