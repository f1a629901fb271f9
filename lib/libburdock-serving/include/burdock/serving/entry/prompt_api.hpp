#pragma once

#include <burdock/link.pb.h>
#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief The completion and chat completion APIs that common client libraries use. */
namespace burdock::serving::prompt_api {

enum class ApiFormat : u8 {
    Completion,
    Chat,
};

/** @brief A parsed request for a completion. */
struct PromptRequest
{
    ApiFormat format = ApiFormat::Completion;
    bool isStreamed = false;
    schema::PromptWork work; ///< model, adapter, prompt, max_tokens
    std::vector<u64> messageHashes; ///< of the messages of a conversation but the last; empty for a completion
};

struct ParseResult
{
    std::optional<PromptRequest> request;
    std::string errorMessage; ///< set if there is no request
};

/** @brief Parses and validates the JSON body of a request. */
[[nodiscard]] ParseResult parse(ApiFormat format, std::string_view body);

/** @brief Metadata that is repeated in the documents of a response. */
struct CompletionMetadata
{
    ApiFormat format = ApiFormat::Completion;
    std::string id;
    std::string model;
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
    u32 importedTokens = 0;
    u32 outputTokens = 0;
};

/** @brief A server-sent event with the next part of the text. */
[[nodiscard]] std::string chunkEvent(const CompletionMetadata &metadata, std::string_view text);

/** @brief The server-sent events that end a complete response. */
[[nodiscard]] std::string finalEvents(const CompletionMetadata &metadata);

/** @brief The server-sent event that ends an incomplete response, with a problem document as its data. */
[[nodiscard]] std::string errorEvent(std::string_view problemBody);

/** @brief The JSON document of a response that is not streamed. */
[[nodiscard]] std::string responseDocument(const CompletionMetadata &metadata, std::string_view text);

} // namespace burdock::serving::prompt_api
