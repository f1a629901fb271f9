#include <support/caller.hpp>

#include <burdock/runtime/sleep.hpp>

namespace support {

namespace {

namespace json = boost::json;
namespace http = runtime::http;

constexpr Duration Silence = std::chrono::seconds(40);

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

void takeUsage(const json::object &document, CallResult &answer)
{
    const auto *usage = document.if_contains("usage");
    if (usage != nullptr && usage->is_object()) {
        answer.promptTokens = usage->at("prompt_tokens").to_number<u32>();
        answer.cachedTokens = usage->at("prompt_tokens_details").at("cached_tokens").to_number<u32>();
    }
}

void takeProblem(const json::object &document, CallResult &answer)
{
    if (document.contains("verdict")) {
        answer.verdict = std::string(document.at("verdict").as_string());
        answer.reason = std::string(document.at("title").as_string());
    }
}

// Takes whole events off the front of the buffer.
void takeEvents(std::string &buffer, CallResult &answer)
{
    for (auto end = buffer.find("\n\n"); end != std::string::npos; end = buffer.find("\n\n")) {
        const auto event = buffer.substr(0, end);
        buffer.erase(0, end + 2);
        const auto begin = event.find("data: ");
        const auto data = begin == std::string::npos ? std::string() : event.substr(begin + 6);
        if (data == "[DONE]") {
            answer.isComplete = true;
            continue;
        }
        const auto document = parse(data);
        takeUsage(document, answer);
        takeProblem(document, answer);
        if (const auto *choices = document.if_contains("choices")) {
            answer.text += std::string(choices->at(0).at("text").as_string());
        }
    }
}

} // namespace

boost::asio::awaitable<CallResult> sendPrompt(std::string entry, PromptCall call)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto since = [begin] {
        return std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
    };
    auto request = makeRequest(call.customer, call.deadlineMs);
    request.target = "/v1/completions";
    request.body
        = json::serialize(json::object{{"model", "m"}, {"prompt", call.prompt}, {"max_tokens", call.tokens}, {"stream", call.isStreamed}});
    http::Call connection(http::parseAddress(entry), Silence);
    CallResult answer;
    answer.progress = co_await connection.send(request);
    if (answer.progress != http::Progress::Answered) {
        answer.total = since();
        co_return answer;
    }
    answer.status = connection.head().status;
    answer.hasRetryAfter = !connection.head().header("Retry-After").empty();
    std::string buffer;
    const bool isStream = connection.head().header("Content-Type") == "text/event-stream";
    bool hasEnd = false;
    while (true) {
        const auto piece = co_await connection.read();
        buffer += piece.data;
        if (isStream) {
            takeEvents(buffer, answer);
        }
        if (answer.firstToken == Duration::zero() && !answer.text.empty()) {
            answer.firstToken = since();
            if (call.firstTokenCount) {
                ++*call.firstTokenCount;
            }
        }
        hasEnd = piece.isEnd;
        if (piece.isEnd || piece.isBroken) {
            break;
        }
        if (call.readPause > Duration::zero()) {
            co_await runtime::sleepFor(call.readPause);
        }
    }
    answer.total = since();
    if (isStream) {
        answer.isComplete = answer.isComplete && hasEnd;
        co_return answer;
    }
    const auto document = parse(buffer);
    takeUsage(document, answer);
    takeProblem(document, answer);
    if (const auto *choices = document.if_contains("choices")) {
        answer.text = std::string(choices->at(0).at("text").as_string());
        answer.isComplete = hasEnd;
    }
    co_return answer;
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
    const auto begin = std::chrono::steady_clock::now();
    const auto exchange = co_await http::exchange(http::parseAddress(entry), request, Silence);
    CallResult answer;
    answer.total = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - begin);
    answer.progress = exchange.progress;
    answer.status = exchange.progress == http::Progress::Answered ? exchange.response.status : 0;
    answer.hasRetryAfter = !exchange.response.header("Retry-After").empty();
    answer.text = exchange.response.body;
    answer.isComplete = exchange.progress == http::Progress::Answered && answer.status == 200;
    takeProblem(parse(exchange.response.body), answer);
    co_return answer;
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
