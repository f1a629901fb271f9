#include <support/caller.hpp>

#include <burdock/runtime/sleep.hpp>

namespace support {

namespace {

namespace json = boost::json;
namespace http = runtime::http;

constexpr Duration IoTimeout = std::chrono::seconds(40);

http::Request makeRequest(const std::string &customer, u32 deadlineMs)
{
    http::Request request;
    request.method = "POST";
    request.headers.emplace_back("Authorization", "Bearer key-" + customer);
    request.headers.emplace_back("Content-Type", "application/json");
    if (deadlineMs > 0) {
        request.headers.emplace_back("Burdock-Deadline-Ms", std::to_string(deadlineMs));
    }
    return request;
}

json::object parse(std::string_view text)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

std::string bodyOf(const PromptCall &call)
{
    json::object body{{"model", "m"}, {"max_tokens", call.tokens}, {"stream", call.isStreamed}};
    json::array messages;
    for (const auto &message : call.messages) {
        messages.push_back(json::object{{"role", "user"}, {"content", message}});
    }
    if (messages.empty()) {
        body["prompt"] = call.prompt;
    } else {
        body["messages"] = std::move(messages);
    }
    return json::serialize(body);
}

/** @brief Text of one choice, of a completion or of a conversation; empty if it has none. */
std::string textOf(const json::value &choice)
{
    const auto &fields = choice.as_object();
    const auto *text = fields.if_contains("text");
    if (text == nullptr && fields.contains("delta")) {
        text = fields.at("delta").as_object().if_contains("content");
    }
    return text == nullptr ? std::string() : std::string(text->as_string());
}

void readUsage(const json::object &document, CallResult &result)
{
    const auto *usage = document.if_contains("usage");
    if (usage != nullptr && usage->is_object()) {
        result.promptTokens = usage->at("prompt_tokens").to_number<u32>();
        result.cachedTokens = usage->at("prompt_tokens_details").at("cached_tokens").to_number<u32>();
    }
}

void readProblem(const json::object &document, CallResult &result)
{
    if (document.contains("verdict")) {
        result.verdict = std::string(document.at("verdict").as_string());
        result.reason = std::string(document.at("title").as_string());
    }
}

// Removes complete events from the front of the buffer and adds them to the result.
void consumeEvents(std::string &buffer, CallResult &result)
{
    for (auto end = buffer.find("\n\n"); end != std::string::npos; end = buffer.find("\n\n")) {
        const auto event = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        const auto begin = event.find("data: ");
        const auto data = begin == std::string::npos ? std::string() : event.substr(begin + 6);
        if (data == "[DONE]") {
            result.isComplete = true;
            continue;
        }
        const auto document = parse(data);
        readUsage(document, result);
        readProblem(document, result);
        if (const auto *choices = document.if_contains("choices")) {
            result.text += textOf(choices->at(0));
        }
    }
}

} // namespace

boost::asio::awaitable<CallResult> sendPrompt(std::string entry, PromptCall call)
{
    const auto startTime = std::chrono::steady_clock::now();
    const auto elapsed = [startTime] {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startTime);
    };
    auto request = makeRequest(call.customer, call.deadlineMs);
    request.target = call.messages.empty() ? "/v1/completions" : "/v1/chat/completions";
    request.body = bodyOf(call);
    http::Call connection(http::parseAddress(entry), IoTimeout);
    CallResult result;
    result.progress = co_await connection.send(request);
    if (result.progress != http::Progress::Answered) {
        result.total = elapsed();
        co_return result;
    }
    result.status = connection.head().status;
    result.hasRetryAfter = !connection.head().header("Retry-After").empty();
    std::string buffer;
    const bool isStream = connection.head().header("Content-Type") == "text/event-stream";
    bool hasBodyEnd = false;
    while (true) {
        const auto chunk = co_await connection.read();
        buffer += chunk.data;
        if (isStream) {
            consumeEvents(buffer, result);
        }
        if (result.firstToken == Duration::zero() && !result.text.empty()) {
            result.firstToken = elapsed();
            if (call.firstTokenCount) {
                ++*call.firstTokenCount;
            }
        }
        hasBodyEnd = chunk.isEnd;
        if (chunk.isEnd || chunk.isBroken) {
            break;
        }
        if (call.readPause > Duration::zero()) {
            co_await runtime::sleepFor(call.readPause);
        }
    }
    result.total = elapsed();
    if (isStream) {
        result.isComplete = result.isComplete && hasBodyEnd;
        co_return result;
    }
    const auto document = parse(buffer);
    readUsage(document, result);
    readProblem(document, result);
    if (const auto *choices = document.if_contains("choices")) {
        result.text = std::string(choices->at(0).at("text").as_string());
        result.isComplete = hasBodyEnd;
    }
    co_return result;
}

boost::asio::awaitable<CallResult> sendService(std::string entry, ServiceCall call)
{
    auto request = makeRequest(call.customer, call.deadlineMs);
    request.method = call.method;
    request.target = "/services/print" + call.path;
    request.body = call.body;
    if (!call.key.empty()) {
        request.headers.emplace_back("Idempotency-Key", call.key);
    }
    const auto startTime = std::chrono::steady_clock::now();
    const auto exchange = co_await http::exchange(http::parseAddress(entry), request, IoTimeout);
    CallResult result;
    result.total = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - startTime);
    result.progress = exchange.progress;
    result.status = exchange.progress == http::Progress::Answered ? exchange.response.status : 0;
    result.hasRetryAfter = !exchange.response.header("Retry-After").empty();
    result.text = exchange.response.body;
    result.isComplete = exchange.progress == http::Progress::Answered && result.status == 200;
    readProblem(parse(exchange.response.body), result);
    co_return result;
}

CallResult sendAndWait(Deployment &deployment, u32 entry, const PromptCall &call)
{
    return deployment.spawn(sendPrompt(deployment.entryAddress(entry), call)).get();
}

CallResult sendAndWait(Deployment &deployment, u32 entry, const ServiceCall &call)
{
    return deployment.spawn(sendService(deployment.entryAddress(entry), call)).get();
}

} // namespace support
