#pragma once

#include <support/deployment.hpp>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace support {

/** @brief Outcome of one call, as the caller sees it. */
struct CallResult
{
    runtime::http::Progress progress = runtime::http::Progress::NotSent;
    u16 status = 0;
    std::string text; ///< response body; of a prompt the generated text, joined from its events
    std::string verdict; ///< `verdict` of the problem document or error event
    std::string reason; ///< `title` of the problem document or error event
    bool isComplete = false; ///< the response was received up to its regular end
    bool hasRetryAfter = false; ///< the response has a Retry-After header
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
    Duration firstToken{};
    Duration total{};
};

/** @brief Parameters of a prompt request. */
struct PromptCall
{
    std::string prompt = "Draft: ";
    std::vector<std::string> messages; ///< if not empty, sent as a conversation in place of the prompt
    u32 tokens = 20;
    bool isStreamed = true;
    std::string customer = "desk";
    u32 deadlineMs = 0; ///< 0 uses the default of the deployment
    Duration readPause{}; ///< pause between reads, to simulate a slow reader
    std::shared_ptr<std::atomic<u32>> firstTokenCount; ///< incremented when the first token arrives; may be null
};

/** @brief Parameters of a call to a service that is not a model. */
struct ServiceCall
{
    std::string method = "POST";
    std::string path = "/order";
    std::string body = "{}";
    std::string key; ///< Idempotency-Key header; not sent if empty
    std::string customer = "clerk";
    u32 deadlineMs = 0;
};

[[nodiscard]] boost::asio::awaitable<CallResult> sendPrompt(std::string entry, PromptCall call);
[[nodiscard]] boost::asio::awaitable<CallResult> sendService(std::string entry, ServiceCall call);

/** @brief Sends one request to the entry with this number and blocks until its response has ended. */
[[nodiscard]] CallResult sendAndWait(Deployment &deployment, u32 entry, const PromptCall &call);
[[nodiscard]] CallResult sendAndWait(Deployment &deployment, u32 entry, const ServiceCall &call);

} // namespace support
