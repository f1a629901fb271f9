#include <burdock/serving/entry/prompt_api.hpp>

#include <boost/json.hpp>

namespace burdock::serving::prompt_api {

namespace {

namespace json = boost::json;

const json::string *textField(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value == nullptr ? nullptr : value->if_string();
}

// The prompt text of a conversation. A later turn only appends, so a returning conversation keeps its prefix.
std::optional<std::string> joinMessages(const json::object &body)
{
    const auto *messages = body.if_contains("messages");
    if (messages == nullptr || !messages->is_array() || messages->get_array().empty()) {
        return std::nullopt;
    }
    std::string prompt;
    for (const auto &message : messages->get_array()) {
        const auto *object = message.if_object();
        const auto *role = object == nullptr ? nullptr : textField(*object, "role");
        const auto *content = object == nullptr ? nullptr : textField(*object, "content");
        if (role == nullptr || content == nullptr) {
            return std::nullopt;
        }
        prompt.append("<|").append(*role).append("|>\n").append(*content).append("\n");
    }
    return prompt;
}

std::optional<std::string> promptOf(Shape shape, const json::object &body)
{
    if (shape == Shape::Chat) {
        return joinMessages(body);
    }
    const auto *prompt = textField(body, "prompt");
    return prompt == nullptr ? std::nullopt : std::optional<std::string>(*prompt);
}

json::object frame(const AnswerFacts &facts, std::string_view object)
{
    return {{"id", facts.id}, {"object", object}, {"model", facts.model}};
}

json::object usage(const AnswerFacts &facts)
{
    return {
        {"prompt_tokens", facts.promptTokens},
        {"completion_tokens", facts.outputTokens},
        {"total_tokens", facts.promptTokens + facts.outputTokens},
        {"prompt_tokens_details", {{"cached_tokens", facts.cachedTokens}, {"imported_tokens", facts.importedTokens}}},
    };
}

std::string event(const json::object &data)
{
    return "data: " + json::serialize(data) + "\n\n";
}

std::string_view streamObject(Shape shape)
{
    return shape == Shape::Chat ? "chat.completion.chunk" : "text_completion";
}

} // namespace

ParsedCall parse(Shape shape, std::string_view body)
{
    boost::system::error_code error;
    const auto value = json::parse(body, error);
    if (error || !value.is_object()) {
        return {std::nullopt, "the body is not a JSON object"};
    }
    const auto &object = value.get_object();
    const auto *model = textField(object, "model");
    if (model == nullptr) {
        return {std::nullopt, "model must be a string"};
    }
    auto prompt = promptOf(shape, object);
    if (!prompt) {
        return {std::nullopt,
                shape == Shape::Chat ? "messages must be an array of objects with role and content" : "prompt must be a string"};
    }
    PromptCall call;
    call.shape = shape;
    call.work.set_model(std::string(*model));
    call.work.set_prompt(std::move(*prompt));
    if (const auto *stream = object.if_contains("stream")) {
        if (!stream->is_bool()) {
            return {std::nullopt, "stream must be true or false"};
        }
        call.isStreamed = stream->get_bool();
    }
    if (const auto *maxTokens = object.if_contains("max_tokens")) {
        constexpr i64 MostTokens = 1'000'000;
        if (!maxTokens->is_int64() || maxTokens->get_int64() < 1 || maxTokens->get_int64() > MostTokens) {
            return {std::nullopt, "max_tokens must be a whole number from 1 to 1000000"};
        }
        call.work.set_max_tokens(static_cast<u32>(maxTokens->get_int64()));
    }
    if (const auto *adapter = textField(object, "adapter")) {
        call.work.set_adapter(std::string(*adapter));
    }
    return {std::move(call), {}};
}

std::string pieceEvent(const AnswerFacts &facts, std::string_view text)
{
    auto data = frame(facts, streamObject(facts.shape));
    json::object choice{{"index", 0}, {"finish_reason", nullptr}};
    if (facts.shape == Shape::Chat) {
        choice["delta"] = json::object{{"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = json::array{std::move(choice)};
    return event(data);
}

std::string endEvents(const AnswerFacts &facts)
{
    auto data = frame(facts, streamObject(facts.shape));
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (facts.shape == Shape::Chat) {
        choice["delta"] = json::object();
    } else {
        choice["text"] = "";
    }
    data["choices"] = json::array{std::move(choice)};
    data["usage"] = usage(facts);
    return event(data) + "data: [DONE]\n\n";
}

std::string errorEvent(std::string_view problemBody)
{
    return "event: error\ndata: " + std::string(problemBody) + "\n\n";
}

std::string document(const AnswerFacts &facts, std::string_view text)
{
    auto data = frame(facts, facts.shape == Shape::Chat ? "chat.completion" : "text_completion");
    json::object choice{{"index", 0}, {"finish_reason", "stop"}};
    if (facts.shape == Shape::Chat) {
        choice["message"] = json::object{{"role", "assistant"}, {"content", text}};
    } else {
        choice["text"] = text;
    }
    data["choices"] = json::array{std::move(choice)};
    data["usage"] = usage(facts);
    return json::serialize(data);
}

} // namespace burdock::serving::prompt_api
