#pragma once

#include <burdock/limits/customer_limits.hpp>
#include <burdock/runtime/http/server.hpp>
#include <burdock/serving/entry/prompt_api.hpp>
#include <burdock/serving/entry/run_coordinator.hpp>

namespace burdock::serving {

/** @brief Handles the HTTP requests of callers: completions, service calls and the model list. Thread-safe. */
class CallerHandler : public runtime::http::Handler
{
public:
    CallerHandler(Process &process, ConfigHolder &config, Fleet &fleet, RunCoordinator &coordinator);

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

    /** @brief True from the first received configuration until setStopping(). */
    [[nodiscard]] bool isReady() const;
    void setStopping();

private:
    struct RequestContext;

    [[nodiscard]] boost::asio::awaitable<void> handlePrompt(RequestContext &context, prompt_api::ApiFormat format);
    [[nodiscard]] boost::asio::awaitable<void> handleService(RequestContext &context);
    [[nodiscard]] boost::asio::awaitable<void> sendRefusal(RequestContext &context, const Refusal &refusal);
    [[nodiscard]] std::optional<runtime::http::Response> checkAdmission(RequestContext &context);
    [[nodiscard]] TimePoint deadlineOf(const RequestContext &context) const;

    Process &m_process;
    ConfigHolder &m_config;
    Fleet &m_fleet;
    RunCoordinator &m_coordinator;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards m_limits
    limits::CustomerLimits m_limits;
    std::atomic<bool> m_isStopping{false};
};

} // namespace burdock::serving
