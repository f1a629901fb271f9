#pragma once

#include <burdock/admission/admission_controller.hpp>
#include <burdock/retry/quarantine.hpp>
#include <burdock/runtime/tracer.hpp>
#include <burdock/serving/endpoint/response_stream.hpp>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace burdock::serving {

/** @brief How a run at the back end ended. */
struct BackEndResult
{
    admission::RunOutcome outcome = admission::RunOutcome::Success;
    schema::RunEnd end;
    /** Set if the back end may have crashed under the run. */
    std::optional<retry::CrashEvidence> crash;
    /** Set if the back end was never asked; then `end` does not count. */
    std::optional<Refusal> refusal;
};

/** @brief Runs admitted requests at the back end beside the process. Thread-safe. */
class BackEndRunner
{
public:
    virtual ~BackEndRunner() = default;

    /** @brief A reason to refuse before waiting for room; none if there is none. */
    [[nodiscard]] virtual Refusal check(const schema::RunRequest &request) = 0;

    /** @brief Runs a request and sends head and data to the response, but not the end. */
    [[nodiscard]] virtual boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, ResponseStream &response,
                                                                    TimePoint deadline, const runtime::SpanContext &parent)
        = 0;

    /** @brief What remains to be done once the end has been sent. */
    [[nodiscard]] virtual boost::asio::awaitable<void> onEndSent(const schema::RunRequest &request) = 0;

    /** @brief `model@version` of the weights that new requests find; empty for plain services. */
    [[nodiscard]] virtual std::vector<std::string> loadedWeights() const = 0;
};

} // namespace burdock::serving
