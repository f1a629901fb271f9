#include <burdock/serving/entry/prompt_api.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/retry/crash_attribution.hpp>

#include <boost/json.hpp>

namespace burdock::serving::prompt_api {

namespace {

namespace json = boost::json;

const json::string *stringField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_string();
}

struct PromptText
{
    std::string text;
    std::vector<u64> messageHashes; ///< of all messages but the last
};

// Builds the prompt text of a conversation. Each turn only appends text, so the cached prefix of earlier turns stays valid.
std::optional<PromptText> joinMessages(const json::object &body)
{
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return std::nullopt;
    }
    PromptText prompt;
    for (const auto &message : messages->get_array()) {
        const auto *object = message.if_object();
        const auto *role = object == nullptr ? nullptr : stringField(*object, "role");
        const auto *content = object == nullptr ? nullptr : stringField(*object, "content");
        if (role == nullptr || content == nullptr) {
            return std::nullopt;
        }
        prompt.text.append("<|").append(*role).append("|>\n").append(*content).append("\n");
        prompt.messageHashes.push_back(retry::partFeature(hash::hash64(*content, hash::hash64(*role))));
    }
    prompt.messageHashes.pop_back();
    return prompt;
}

std::optional<PromptText> promptOf(ApiFormat format, const json::object &body)
{
    if (format == ApiFormat::Chat) {
        return joinMessages(body);
    }
    const auto *prompt = stringField(body, "prompt");
    return prompt == nullptr ? std::nullopt : std::optional(PromptText{std::string(*prompt), {}});
}

json::object responseObject(const CompletionMetadata &metadata, std::string_view objectType)
{
    return {{"id", metadata.id}, {"object", objectType}, {"model", metadata.model}};
}

json::object usageObject(const CompletionMetadata &metadata)
{
    return {
        {"prompt_tokens", metadata.promptTokens},
        {"completion_tokens", metadata.outputTokens},
        {"total_tokens", metadata.promptTokens + metadata.outputTokens},
        {"prompt_tokens_details", {{"cached_tokens", metadata.cachedTokens}, {"imported_tokens", metadata.importedTokens}}},
    };
}

std::string sseEvent(const json::object &data)
{
    return "data: " + json::serialize(data) + "\n\n";
}

std::string_view streamObjectType(ApiFormat format)
{
    return format == ApiFormat::Chat ? "chat.completion.chunk" : "text_completion";
}

} // namespace

ParseResult parse(ApiFormat format, std::string_view body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        return {std::nullopt, "the body is not a JSON object"};
    }
    const auto &object = value.get_object();
    const auto *model = stringField(object, "model");
    if (model == nullptr) {
        return {std::nullopt, "model must be a string"};
    }
    auto prompt = promptOf(format, object);
    if (!prompt) {
        return {std::nullopt,
                format == ApiFormat::Chat ? "messages must be an array of objects with role and content" : "prompt must be a string"};
    }
    PromptRequest request;
    request.format = format;
    request.work.set_model(std::string(*model));
    request.work.set_prompt(std::move(prompt->text));
    request.messageHashes = std::move(prompt->messageHashes);
    if (const auto *stream = object.if_contains("stream")) {
        if (!stream->is_bool()) {
            return {std::nullopt, "stream must be true or false"};
        }
        request.isStreamed = stream->get_bool();
    }
    if (const auto *maxTokens = object.if_contains("max_tokens")) {
        constexpr i64 MaxOutputTokens = 1'000'000;
        if (!maxTokens->is_int64() || maxTokens->get_int64() < 1 || maxTokens->get_int64() > MaxOutputTokens) {
            return {std::nullopt, "max_tokens must be a whole number from 1 to 1000000"};
        }
        request.work.set_max_tokens(static_cast<u32>(maxTokens->get_int64()));
    }
    if (const auto *adapter = stringField(object, "adapter")) {
        request.work.set_adapter(std::string(*adapter));
    }
    return {std::move(request), {}};
}

std::string chunkEvent(const CompletionMetadata &metadata, std::string_view text)
{
    auto data = responseObject(metadata, streamObjectType(metadata.format));
    json::object choice{{"index", 0}, {"finish_reason", nullptr}};
    if (metadata.format == ApiFormat::Chat) {
        choice["delta"] = json::object{{"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = json::array{std::move(choice)};
    return sseEvent(data);
}

std::string finalEvents(const CompletionMetadata &metadata)
{
    auto data = responseObject(metadata, streamObjectType(metadata.format));
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (metadata.format == ApiFormat::Chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    data["choices"] = json::array{std::move(choice)};
    data["usage"] = usageObject(metadata);
    return sseEvent(data) + "data: [DONE]\n\n";
}

std::string errorEvent(std::string_view problemBody)
{
    return "event: error\ndata: " + std::string(problemBody) + "\n\n";
}

std::string responseDocument(const CompletionMetadata &metadata, std::string_view text)
{
    auto data = responseObject(metadata, metadata.format == ApiFormat::Chat ? "chat.completion" : "text_completion");
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (metadata.format == ApiFormat::Chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = json::array{std::move(choice)};
    data["usage"] = usageObject(metadata);
    return json::serialize(data);
}

} // namespace burdock::serving::prompt_api
