#pragma once

#include <burdock/admission/admission_controller.hpp>
#include <burdock/retry/quarantine.hpp>
#include <burdock/runtime/tracer.hpp>
#include <burdock/serving/endpoint/response_stream.hpp>

#include <boost/asio/awaitable.hpp>
#include <optional>

namespace burdock::serving {

/** @brief Result of a run at the back end. */
struct BackEndResult
{
    admission::RunOutcome outcome = admission::RunOutcome::Success;
    bool hasBegun = false; ///< the back end reported the begin of the run
    schema::RunEnd end;
    /** Set if the back end may have crashed during the run. */
    std::optional<retry::CrashEvidence> crash;
    /** Set if this attempt is refused; `end` is then ignored. */
    std::optional<Refusal> refusal;

    /** @brief Whether the run has to be admitted again; nothing of it has run, and the other members are then ignored. */
    [[nodiscard]] bool isAdmissionInvalid() const
    {
        return outcome == admission::RunOutcome::NotStarted;
    }
};

/** @brief Runs admitted requests at the back end of this process. Thread-safe. */
class BackEndRunner
{
public:
    virtual ~BackEndRunner() = default;

    /**
     * @brief Checks whether a request can run now, before it waits for admission.
     * @return RefusalReason::None if it can; otherwise the refusal
     */
    [[nodiscard]] virtual Refusal check(const schema::RunRequest &request) = 0;

    /**
     * @brief Runs a request and sends the head and data of its response, but not the end.
     * @param admittedIn epoch of the admission; the request is not run if the back end has restarted since
     */
    [[nodiscard]] virtual boost::asio::awaitable<BackEndResult> run(const schema::RunRequest &request, admission::Epoch admittedIn,
                                                                    ResponseStream &response, TimePoint deadline,
                                                                    const runtime::SpanContext &parent)
        = 0;

    /** @brief Completes work that is left once the end of the response has been sent. */
    [[nodiscard]] virtual boost::asio::awaitable<void> onEndSent(const schema::RunRequest &request) = 0;

    /** @brief Weights available to new requests, as `model@version`; empty for plain services. */
    [[nodiscard]] virtual std::vector<std::string> loadedWeights() const = 0;
};

} // namespace burdock::serving
