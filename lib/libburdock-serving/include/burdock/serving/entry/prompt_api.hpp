#pragma once

#include <burdock/link.pb.h>
#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>

/** @brief The completion and chat-completion shapes that callers' client libraries speak. */
namespace burdock::serving::prompt_api {

enum class Shape : u8 {
    Completion,
    Chat,
};

/** @brief What a caller asked for. */
struct PromptCall
{
    Shape shape = Shape::Completion;
    bool isStreamed = false;
    schema::PromptWork work; ///< model, adapter, prompt, max_tokens
};

struct ParsedCall
{
    std::optional<PromptCall> call;
    std::string fault; ///< if there is no call
};

[[nodiscard]] ParsedCall parse(Shape shape, std::string_view body);

/** @brief Facts of an answer that stand in its documents. */
struct AnswerFacts
{
    Shape shape = Shape::Completion;
    std::string id;
    std::string model;
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
    u32 importedTokens = 0;
    u32 outputTokens = 0;
};

/** @brief One server-sent event with a piece of the answer. */
[[nodiscard]] std::string pieceEvent(const AnswerFacts &facts, std::string_view text);

/** @brief The events that end a whole answer. */
[[nodiscard]] std::string endEvents(const AnswerFacts &facts);

/** @brief The event that ends an answer which could not be completed. */
[[nodiscard]] std::string errorEvent(std::string_view problemBody);

/** @brief A whole answer in one document. */
[[nodiscard]] std::string document(const AnswerFacts &facts, std::string_view text);

} // namespace burdock::serving::prompt_api
