#include <burdock/clients/http_engine.hpp>
#include <burdock/clients/json_fields.hpp>

#include <boost/json.hpp>

namespace burdock::clients {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

constexpr http::BodyLimit BlockLimit{std::size_t{16} * 1024 * 1024, nullptr};
constexpr http::BodyLimit EventsLimit{std::size_t{4} * 1024 * 1024, nullptr};
constexpr u16 Ok = 200;
constexpr u16 Conflict = 409;
constexpr std::size_t MaxLineBytes = 1024 * 1024;

std::string toJson(const GenerateRequest &request)
{
    json::array keys;
    for (const auto &key : request.blockKeys) {
        keys.push_back(json::value(hash::toHex(hash::asBytes(key))));
    }
    const json::object body{
        {"run_id", request.runId},         {"model", request.model},       {"weight_version", request.weightVersion},
        {"adapter", request.adapter},      {"prompt", request.prompt},     {"delivered", request.delivered},
        {"max_tokens", request.maxTokens}, {"priority", request.priority}, {"block_keys", std::move(keys)},
    };
    return json::serialize(body);
}

std::vector<std::string> stringsOf(const json::object &object, std::string_view key)
{
    std::vector<std::string> strings;
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_array()) {
        return strings;
    }
    for (const auto &item : value->get_array()) {
        if (item.is_string()) {
            strings.emplace_back(item.get_string());
        }
    }
    return strings;
}

json::object objectOf(const http::Exchange &exchange)
{
    if (exchange.progress != http::Progress::Answered || exchange.response.status != Ok) {
        return {};
    }
    boost::system::error_code error;
    auto value = json::parse(exchange.response.body, error);
    return error || !value.is_object() ? json::object() : std::move(value.get_object());
}

http::Request stateRequest()
{
    http::Request request;
    request.target = "/v1/state";
    return request;
}

EngineState toState(const http::Exchange &exchange)
{
    const auto body = objectOf(exchange);
    EngineState state;
    state.isReachable = body.contains("boot_id");
    state.bootId = textOf(body, "boot_id");
    state.loadedVersions = stringsOf(body, "loaded");
    const auto *running = body.if_contains("running");
    if (running != nullptr && running->is_int64()) {
        state.running = static_cast<u32>(numberOf(body, "running"));
    }
    return state;
}

// Reads a run as JSON lines: a head, then texts and pings, then a `done` line that marks the response as complete.
class HttpGeneration : public Generation
{
public:
    HttpGeneration(const http::Address &address, Duration ioTimeout, std::string body)
        : m_call(address, ioTimeout)
        , m_body(std::move(body))
    {
    }

    boost::asio::awaitable<EngineState> open() override
    {
        co_return toState(co_await m_call.exchangeFirst(stateRequest()));
    }

    boost::asio::awaitable<GenerateHead> start() override
    {
        http::Request request;
        request.method = "POST";
        request.target = "/v1/generate";
        request.headers.emplace_back("Content-Type", "application/json");
        request.body = std::move(m_body);
        GenerateHead head;
        head.progress = co_await m_call.send(request);
        if (head.progress != http::Progress::Answered) {
            co_return head;
        }
        head.status = m_call.head().status;
        head.bootId = std::string(m_call.head().header("Engine-Boot-Id"));
        if (head.status != Ok) {
            co_return head;
        }
        const auto line = co_await nextLine();
        if (!line || !line->contains("head") || !line->at("head").is_object()) {
            head.progress = http::Progress::MayBeSent;
            co_return head;
        }
        const auto &fields = line->at("head").get_object();
        head.promptTokens = static_cast<u32>(numberOf(fields, "prompt_tokens"));
        head.cachedTokens = static_cast<u32>(numberOf(fields, "cached_tokens"));
        head.weightVersion = textOf(fields, "weight_version");
        co_return head;
    }

    boost::asio::awaitable<GenerateEvent> next() override
    {
        GenerateEvent event;
        const auto line = co_await nextLine();
        if (!line) {
            co_return event;
        }
        event.kind = GenerateEventKind::Ping;
        if (line->contains("text")) {
            event.kind = GenerateEventKind::Text;
            event.text = textOf(*line, "text");
        } else if (line->contains("done") && line->at("done").is_object()) {
            event.kind = GenerateEventKind::Done;
            event.outputTokens = static_cast<u32>(numberOf(line->at("done").get_object(), "output_tokens"));
        }
        co_return event;
    }

private:
    boost::asio::awaitable<std::optional<json::object>> nextLine()
    {
        while (true) {
            const auto end = m_buffer.find('\n');
            if (end != std::string::npos) {
                boost::system::error_code error;
                auto value = json::parse(std::string_view(m_buffer).substr(0, end), error);
                m_buffer.erase(0, end + 1);
                if (error || !value.is_object()) {
                    co_return std::nullopt;
                }
                co_return std::move(value.get_object());
            }
            if (m_isAtEnd || m_buffer.size() > MaxLineBytes) {
                co_return std::nullopt;
            }
            const auto chunk = co_await m_call.read();
            m_buffer += chunk.data;
            m_isAtEnd = chunk.isEnd || chunk.isBroken;
        }
    }

    http::Call m_call;
    std::string m_body;
    std::string m_buffer;
    bool m_isAtEnd = false;
};

std::string blockPath(const cache::BlockKey &key)
{
    return "/v1/cache/" + hash::toHex(hash::asBytes(key));
}

} // namespace

HttpEngine::HttpEngine(const http::Address &address, Duration ioTimeout)
    : m_address(address)
    , m_ioTimeout(ioTimeout)
{
}

std::unique_ptr<Generation> HttpEngine::generate(const GenerateRequest &request)
{
    return std::make_unique<HttpGeneration>(m_address, m_ioTimeout, toJson(request));
}

boost::asio::awaitable<EngineState> HttpEngine::state()
{
    co_return toState(co_await http::exchange(m_address, stateRequest(), m_ioTimeout));
}

boost::asio::awaitable<OrderResult> HttpEngine::load(const std::string &model, const std::string &version, u64 token)
{
    constexpr Duration LoadTimeout = std::chrono::seconds(60);
    http::Request request;
    request.method = "POST";
    request.target = "/v1/orders/load";
    request.body = json::serialize(json::object{{"model", model}, {"version", version}, {"fence", token}});
    const auto exchange = co_await http::exchange(m_address, request, LoadTimeout);
    if (exchange.progress != http::Progress::Answered) {
        co_return OrderResult::Failed;
    }
    if (exchange.response.status == Conflict) {
        co_return OrderResult::Refused;
    }
    co_return exchange.response.status == Ok ? OrderResult::Done : OrderResult::Failed;
}

boost::asio::awaitable<std::optional<std::string>> HttpEngine::exportBlock(const cache::BlockKey &key)
{
    http::Request request;
    request.target = blockPath(key);
    auto exchange = co_await http::exchange(m_address, request, m_ioTimeout, BlockLimit);
    if (!exchange.isProvablyComplete() || exchange.response.status != Ok) {
        co_return std::nullopt;
    }
    co_return std::move(exchange.response.body);
}

boost::asio::awaitable<bool> HttpEngine::importBlock(const cache::BlockKey &key, const std::string &payload)
{
    http::Request request;
    request.method = "PUT";
    request.target = blockPath(key);
    request.body = payload;
    const auto exchange = co_await http::exchange(m_address, request, m_ioTimeout);
    co_return exchange.progress == http::Progress::Answered &&exchange.response.status == Ok;
}

boost::asio::awaitable<CacheEvents> HttpEngine::events(u64 afterSequence)
{
    http::Request request;
    request.target = "/v1/cache-events?after=" + std::to_string(afterSequence);
    const auto body = objectOf(co_await http::exchange(m_address, request, m_ioTimeout, EventsLimit));
    CacheEvents events;
    events.isKnown = body.contains("last");
    events.lastSequence = numberOf(body, "last");
    events.hasGap = numberOf(body, "first") > afterSequence + 1;
    events.dropped = stringsOf(body, "dropped");
    co_return events;
}

} // namespace burdock::clients
