#include <standins/engine.hpp>

#include <burdock/clients/json_fields.hpp>
#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <charconv>

namespace standins {

namespace {

namespace json = boost::json;
using clients::numberOf;
using clients::textOf;
using runtime::http::Request;
using runtime::http::Response;

constexpr u32 BytesPerToken = 4;
constexpr std::string_view CachePrefix = "/v1/cache/";
constexpr Duration PingEvery = std::chrono::milliseconds(500);

std::string word(const std::string &prompt, u32 index)
{
    return hash::toHex(std::to_string(hash::hash64(prompt, index) % 100'000)).substr(0, 6) + " ";
}

json::object parseBody(const std::string &body)
{
    boost::system::error_code error;
    auto value = json::parse(body, error);
    return error || !value.is_object() ? json::object() : value.get_object();
}

Response status(u16 code, std::string body = {})
{
    Response response;
    response.status = code;
    response.body = std::move(body);
    return response;
}

std::string headLine(u32 promptTokens, u32 cachedTokens, const std::string &weightVersion)
{
    const json::object facts{{"prompt_tokens", promptTokens}, {"cached_tokens", cachedTokens}, {"weight_version", weightVersion}};
    return json::serialize(json::object{{"head", facts}}) + "\n";
}

std::string textLine(const std::string &text)
{
    return json::serialize(json::object{{"text", text}}) + "\n";
}

std::string doneLine(u32 outputTokens)
{
    return json::serialize(json::object{{"done", json::object{{"output_tokens", outputTokens}}}}) + "\n";
}

} // namespace

std::string expectedAnswer(const std::string &prompt, u32 tokens)
{
    std::string answer;
    for (u32 i = 0; i < tokens; ++i) {
        answer += word(prompt, i);
    }
    return answer;
}

Engine::Engine(boost::asio::io_context &workers, const std::string &address, const EngineOptions &options)
    : m_options(options)
    , m_server(workers, runtime::http::parseAddress(address), {}, *this)
{
    if (!options.loaded.empty()) {
        m_loaded.push_back(options.loaded);
    }
}

std::string Engine::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Engine::crash()
{
    {
        const std::lock_guard lock(m_mutex);
        ++m_boot;
        m_dying = m_inFlight;
        m_order.clear();
        m_held.clear();
        m_dropped.clear();
        m_lastEvent = 0;
        m_running = 0;
        m_finishedSinceBoot = 0;
    }
    m_server.closeAll();
}

void Engine::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
}

void Engine::setAbortingRuns(bool isBreaking)
{
    m_isBreaking = isBreaking;
}

u32 Engine::crashes() const
{
    return static_cast<u32>(m_boot - 1);
}

u32 Engine::maxRunning() const
{
    const std::lock_guard lock(m_mutex);
    return m_maxRunning;
}

u32 Engine::started() const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<u32>(m_prompts.size());
}

u32 Engine::startedContaining(const std::string &text) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<u32>(
        std::count_if(m_prompts.begin(), m_prompts.end(), [&](const auto &prompt) { return prompt.find(text) != std::string::npos; }));
}

std::vector<std::string> Engine::loadedModels() const
{
    const std::lock_guard lock(m_mutex);
    return m_loaded;
}

std::vector<u64> Engine::fencingTokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_fences;
}

std::set<std::string> Engine::cachedKeys() const
{
    const std::lock_guard lock(m_mutex);
    return {m_order.begin(), m_order.end()};
}

std::string Engine::bootId() const
{
    return address() + "/" + std::to_string(m_boot.load());
}

u32 Engine::bears() const
{
    return m_finishedSinceBoot >= m_options.warmAfterRuns ? m_options.warmRunCapacity : m_options.coldRunCapacity;
}

boost::asio::awaitable<void> Engine::handle(const Request &request, runtime::http::Reply &reply)
{
    while (m_isFrozen) {
        co_await runtime::sleepFor(std::chrono::milliseconds(20));
    }
    if (isDown()) {
        co_return;
    }
    const auto path = request.path();
    if (path == "/v1/generate") {
        co_await generate(request, reply);
        co_return;
    }
    Response response = status(404);
    if (path == "/v1/state") {
        response = state();
    } else if (path == "/v1/orders/load") {
        response = co_await load(request);
    } else if (path == "/v1/cache-events") {
        u64 after = 0;
        const auto text = request.query("after");
        std::from_chars(text.data(), text.data() + text.size(), after);
        response = events(after);
    } else if (path.starts_with(CachePrefix)) {
        response = cache(request);
    }
    co_await reply.send(response);
}

boost::asio::awaitable<void> Engine::generate(const Request &request, runtime::http::Reply &reply)
{
    const auto body = parseBody(request.body);
    Run run;
    if (!begin(body, run)) {
        auto refusal = status(409);
        refusal.headers.emplace_back("Engine-Boot-Id", bootId());
        co_await reply.send(refusal);
        co_return;
    }
    bool fallsOver = !m_options.poison.empty() && run.prompt.find(m_options.poison) != std::string::npos;
    {
        const std::lock_guard lock(m_mutex);
        fallsOver = fallsOver || m_running > bears();
    }
    if (fallsOver) {
        co_await runtime::sleepFor(std::chrono::milliseconds(20));
        if (run.boot == m_boot) {
            crash();
        }
    } else {
        co_await stream(run, reply);
        finish(run);
    }
    const std::lock_guard lock(m_mutex);
    --m_inFlight;
    if (run.boot != m_boot) {
        m_dying -= std::min<u32>(m_dying, 1);
    }
}

bool Engine::isDown() const
{
    const std::lock_guard lock(m_mutex);
    return m_dying > 0;
}

void Engine::finish(Run &run)
{
    const std::lock_guard lock(m_mutex);
    if (run.boot == m_boot && !std::exchange(run.hasFinished, true)) {
        m_running -= std::min<u32>(m_running, 1);
        ++m_finishedSinceBoot;
    }
}

bool Engine::begin(const json::object &body, Run &run)
{
    run.prompt = textOf(body, "prompt");
    run.weightVersion = textOf(body, "weight_version");
    const auto name = textOf(body, "model") + "@" + run.weightVersion;
    const auto wanted = static_cast<u32>(numberOf(body, "max_tokens"));
    run.tokens = wanted == 0 ? m_options.defaultTokens : wanted;
    const auto delivered = textOf(body, "delivered");
    run.begin = static_cast<u32>(std::count(delivered.begin(), delivered.end(), ' '));
    run.promptTokens = static_cast<u32>(run.prompt.size()) / BytesPerToken;
    const std::lock_guard lock(m_mutex);
    if (std::find(m_loaded.begin(), m_loaded.end(), name) == m_loaded.end()) {
        return false;
    }
    run.boot = m_boot;
    run.cachedTokens = std::min(run.promptTokens, useCache(body));
    m_prompts.push_back(run.prompt);
    ++m_inFlight;
    ++m_running;
    m_maxRunning = std::max(m_maxRunning, m_running);
    return true;
}

u32 Engine::useCache(const json::object &body)
{
    const auto *keys = body.if_contains("block_keys");
    if (keys == nullptr || !keys->is_array()) {
        return 0;
    }
    u32 cachedBlocks = 0;
    bool isPrefix = true;
    for (const auto &key : keys->get_array()) {
        const auto name = std::string(key.as_string());
        isPrefix = isPrefix && m_held.count(name) > 0;
        cachedBlocks += isPrefix ? 1 : 0;
        hold(name);
    }
    return cachedBlocks * m_options.blockTokens;
}

void Engine::hold(const std::string &key)
{
    if (const auto known = m_held.find(key); known != m_held.end()) {
        m_order.splice(m_order.begin(), m_order, known->second);
        return;
    }
    m_order.push_front(key);
    m_held[key] = m_order.begin();
    if (m_order.size() > m_options.memoryBlocks) {
        m_dropped.emplace_back(++m_lastEvent, m_order.back());
        m_held.erase(m_order.back());
        m_order.pop_back();
    }
}

boost::asio::awaitable<void> Engine::stream(Run &run, runtime::http::Reply &reply)
{
    Response head;
    head.headers.emplace_back("Content-Type", "application/jsonlines");
    head.headers.emplace_back("Engine-Boot-Id", bootId());
    const u32 fresh = run.promptTokens - run.cachedTokens;
    co_await runtime::sleepFor(Duration(1'000'000ULL * fresh / m_options.prefillTokensPerSecond));
    if (!co_await reply.begin(head)) {
        co_return;
    }
    const auto facts = headLine(run.promptTokens, run.cachedTokens, run.weightVersion);
    bool isOpen = co_await reply.write(facts);
    for (u32 i = run.begin; isOpen && i < run.tokens; ++i) {
        if (m_options.tokenMs > 0) {
            co_await runtime::sleepFor(std::chrono::milliseconds(m_options.tokenMs));
        }
        while (m_isFrozen && run.boot == m_boot) {
            co_await runtime::sleepFor(PingEvery);
        }
        if (run.boot != m_boot || (m_isBreaking && i > run.begin)) {
            co_return;
        }
        const auto text = textLine(word(run.prompt, i));
        isOpen = co_await reply.write(text);
    }
    const auto done = doneLine(run.tokens - run.begin);
    // Whoever has read the last line may send the next run.
    finish(run);
    if (isOpen && co_await reply.write(done)) {
        co_await reply.end();
    }
}

boost::asio::awaitable<Response> Engine::load(const Request &request)
{
    const auto body = parseBody(request.body);
    const u64 fence = numberOf(body, "fence");
    const auto model = textOf(body, "model");
    const auto name = model + "@" + textOf(body, "version");
    const auto isRefused = [&] {
        return m_options.honoursFencing && fence < m_highestFence;
    };
    {
        const std::lock_guard lock(m_mutex);
        if (isRefused()) {
            co_return status(409);
        }
        m_highestFence = std::max(m_highestFence, fence);
    }
    co_await runtime::sleepFor(std::chrono::milliseconds(m_options.loadMs));
    const std::lock_guard lock(m_mutex);
    if (isRefused()) {
        co_return status(409);
    }
    m_fences.push_back(fence);
    std::erase_if(m_loaded, [&](const auto &loaded) { return loaded.starts_with(model + "@"); });
    m_loaded.push_back(name);
    co_return status(200);
}

Response Engine::cache(const Request &request)
{
    const auto key = std::string(request.path().substr(CachePrefix.size()));
    const std::lock_guard lock(m_mutex);
    if (request.method == "PUT") {
        // The payload says which key it belongs to; a payload of another key would poison the cache.
        if (!request.body.starts_with(key)) {
            return status(400);
        }
        hold(key);
        return status(200);
    }
    if (m_held.count(key) == 0) {
        return status(404);
    }
    std::string payload = key;
    payload.resize(m_options.payloadBytes, 'k');
    return status(200, std::move(payload));
}

Response Engine::state() const
{
    json::array loaded;
    const std::lock_guard lock(m_mutex);
    for (const auto &name : m_loaded) {
        loaded.push_back(json::value(name));
    }
    return status(200, json::serialize(json::object{{"boot_id", bootId()}, {"loaded", std::move(loaded)}, {"running", m_running}}));
}

Response Engine::events(u64 after) const
{
    json::array dropped;
    const std::lock_guard lock(m_mutex);
    for (const auto &[sequence, key] : m_dropped) {
        if (sequence > after) {
            dropped.push_back(json::value(key));
        }
    }
    return status(200, json::serialize(json::object{{"first", 0}, {"last", m_lastEvent}, {"dropped", std::move(dropped)}}));
}

} // namespace standins
