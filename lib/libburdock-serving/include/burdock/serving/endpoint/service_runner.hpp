#pragma once

#include <burdock/run/message_memory.hpp>
#include <burdock/runtime/http/client.hpp>
#include <burdock/serving/endpoint/back_end_runner.hpp>
#include <burdock/serving/endpoint/once_store.hpp>

#include <map>
#include <memory>

namespace burdock::serving {

/** @brief Forwards calls to a plain service; calls that may not be repeated run at most once. */
class ServiceRunner : public BackEndRunner
{
public:
    ServiceRunner(Process &process, OnceStore &onceStore, const runtime::http::Address &backEnd, Duration idleTimeout);

    [[nodiscard]] Refusal check(const schema::RunRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, admission::Epoch admittedIn,
                                                            ResponseStream &response, TimePoint deadline,
                                                            const runtime::SpanContext &parent) override;
    [[nodiscard]] boost::asio::awaitable<void> onEndSent(const schema::RunRequest &request) override;
    [[nodiscard]] std::vector<std::string> loadedWeights() const override;

private:
    struct CallRecord
    {
        OnceClaim claim;
        u32 status = 0;
        std::string contentType;
        std::string body; ///< empty for a call that may be repeated, as nothing is recorded of it
        bool isComplete = false;
        std::unique_ptr<run::MessageShare> memory; ///< for the body
    };

    [[nodiscard]] boost::asio::awaitable<BackEndResult> forwardCall(const schema::RunRequest &request, ResponseStream &response,
                                                                    TimePoint deadline, const runtime::SpanContext &span,
                                                                    CallRecord &record);
    [[nodiscard]] bool mayReadOn(const schema::RunRequest &request, bool hasCaller, TimePoint deadline) const;

    Process &m_process;
    OnceStore &m_onceStore;
    runtime::http::Address m_backEnd;
    Duration m_idleTimeout;
    run::MessageMemory m_memory;
    runtime::OrderedMutex<runtime::LockLevel::Leaf> m_mutex;
    std::map<std::string, CallRecord> m_unrecordedCalls; // by run id; removed by onEndSent()
};

} // namespace burdock::serving
