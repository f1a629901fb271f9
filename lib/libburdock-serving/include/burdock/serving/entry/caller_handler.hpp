#pragma once

#include <burdock/limits/customer_limits.hpp>
#include <burdock/runtime/http/server.hpp>
#include <burdock/serving/entry/prompt_api.hpp>
#include <burdock/serving/entry/run_driver.hpp>

namespace burdock::serving {

/** @brief Answers callers: completions, services, the list of models. Thread-safe. */
class CallerHandler : public runtime::http::Handler
{
public:
    CallerHandler(Process &process, ConfigHolder &config, Fleet &fleet, RunDriver &driver);

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;

    /** @brief True once requests can be served; false again while the process stops. */
    [[nodiscard]] bool isReady() const;
    void setStopping();

private:
    struct Call;

    [[nodiscard]] boost::asio::awaitable<void> handlePrompt(Call &call, prompt_api::Shape shape);
    [[nodiscard]] boost::asio::awaitable<void> handleService(Call &call);
    [[nodiscard]] boost::asio::awaitable<void> refuse(Call &call, const Refusal &refusal);
    [[nodiscard]] std::optional<runtime::http::Response> admit(Call &call);
    [[nodiscard]] TimePoint deadlineOf(const Call &call) const;

    Process &m_process;
    ConfigHolder &m_config;
    Fleet &m_fleet;
    RunDriver &m_driver;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex; // guards the limits
    limits::CustomerLimits m_limits;
    std::atomic<bool> m_isStopping{false};
};

} // namespace burdock::serving
