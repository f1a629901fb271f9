#pragma once

#include <support/deployment.hpp>

#include <atomic>
#include <memory>
#include <string>

namespace support {

/** @brief What a caller got. */
struct CallResult
{
    runtime::http::Progress progress = runtime::http::Progress::NotSent;
    u16 status = 0;
    std::string text; ///< of the answer, put together
    std::string verdict; ///< of a problem document or error event
    std::string reason; ///< title of the same
    bool isComplete = false; ///< came to its proper end
    bool hasRetryAfter = false; ///< a refusal carries Retry-After
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
    Duration firstToken{};
    Duration total{};
};

/** @brief A prompt as a caller sends it. */
struct PromptCall
{
    std::string prompt = "Draft: ";
    u32 tokens = 20;
    bool isStreamed = true;
    std::string customer = "desk";
    u32 deadlineMs = 0; ///< 0 leaves it to the deployment
    Duration readPause{}; ///< a slow reader waits so long between reads
    std::shared_ptr<std::atomic<u32>> firstTokenCount; ///< counts the answers whose first token came; may be null
};

/** @brief A call of a plain service. */
struct ServiceCall
{
    std::string method = "POST";
    std::string path = "/order";
    std::string body = "{}";
    std::string key; ///< Idempotency-Key; empty for none
    std::string customer = "clerk";
    u32 deadlineMs = 0;
};

[[nodiscard]] boost::asio::awaitable<CallResult> sendPrompt(std::string entry, PromptCall call);
[[nodiscard]] boost::asio::awaitable<CallResult> sendService(std::string entry, ServiceCall call);

/** @brief Sends one request and waits for its answer. */
[[nodiscard]] CallResult sendAndWait(Deployment &deployment, u32 entry, const PromptCall &call);
[[nodiscard]] CallResult sendAndWait(Deployment &deployment, u32 entry, const ServiceCall &call);

} // namespace support
