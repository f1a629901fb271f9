#pragma once

#include <burdock/runtime/http/client.hpp>
#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/endpoint/once_store.hpp>

#include <map>

namespace burdock::serving {

/** @brief Passes calls on to a plain service; calls that may not be repeated run at most once. */
class ServiceRunner : public BackEndRunner
{
public:
    ServiceRunner(Process &process, OnceStore &once, const runtime::http::Address &backEnd, Duration silence);

    [[nodiscard]] Refusal check(const schema::RunRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, ResponseStream &outlet, TimePoint deadline,
                                                            const runtime::SpanContext &parent) override;
    [[nodiscard]] boost::asio::awaitable<void> afterEnd(const schema::RunRequest &request) override;
    [[nodiscard]] std::vector<std::string> loaded() const override;

private:
    struct Outcome
    {
        OnceClaim claim;
        u32 status = 0;
        std::string contentType;
        std::string body;
    };

    [[nodiscard]] boost::asio::awaitable<BackEndResult> call(const schema::RunRequest &request, ResponseStream &outlet,
                                                             const runtime::SpanContext &span, Outcome &outcome);

    Process &m_process;
    OnceStore &m_once;
    runtime::http::Address m_backEnd;
    Duration m_silence;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex;
    std::map<std::string, Outcome> m_unrecorded; // by run id; taken by afterEnd()
};

} // namespace burdock::serving
