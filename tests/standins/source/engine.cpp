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
constexpr Duration FreezePollInterval = std::chrono::milliseconds(500);

std::string outputToken(const std::string &prompt, u32 index)
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
    const json::object head{{"prompt_tokens", promptTokens}, {"cached_tokens", cachedTokens}, {"weight_version", weightVersion}};
    return json::serialize(json::object{{"head", head}}) + "\n";
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
        answer += outputToken(prompt, i);
    }
    return answer;
}

Engine::Engine(boost::asio::io_context &workers, const std::string &address, const EngineOptions &options)
    : m_options(options)
    , m_server(workers, runtime::http::parseAddress(address), {}, *this)
{
    if (!options.initialModel.empty()) {
        m_loadedModels.push_back(options.initialModel);
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
        ++m_crashesInProgress;
        m_crashedInFlight = m_inFlight;
        m_recency.clear();
        m_cachedBlocks.clear();
        m_evictions.clear();
        m_lastEvent = 0;
        m_running = 0;
        m_finishedSinceBoot = 0;
    }
    m_server.closeAll();
    const std::lock_guard lock(m_mutex);
    --m_crashesInProgress;
}

void Engine::setFrozen(bool isFrozen)
{
    m_isFrozen = isFrozen;
}

void Engine::setAbortingRuns(bool isAborting)
{
    m_isAbortingRuns = isAborting;
}

void Engine::setFailureStatus(u16 status)
{
    m_failureStatus = status;
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
    return static_cast<u32>(m_startedPrompts.size());
}

u32 Engine::startedContaining(const std::string &text) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<u32>(std::count_if(m_startedPrompts.begin(), m_startedPrompts.end(),
                                          [&](const auto &prompt) { return prompt.find(text) != std::string::npos; }));
}

std::vector<std::string> Engine::loadedModels() const
{
    const std::lock_guard lock(m_mutex);
    return m_loadedModels;
}

std::vector<u64> Engine::fencingTokens() const
{
    const std::lock_guard lock(m_mutex);
    return m_acceptedFencingTokens;
}

std::set<std::string> Engine::cachedKeys() const
{
    const std::lock_guard lock(m_mutex);
    return {m_recency.begin(), m_recency.end()};
}

std::string Engine::bootId() const
{
    return address() + "/" + std::to_string(m_boot.load());
}

u32 Engine::runCapacity() const
{
    return m_finishedSinceBoot >= m_options.warmAfterRuns ? m_options.warmRunCapacity : m_options.coldRunCapacity;
}

boost::asio::awaitable<void> Engine::handle(const Request &request, runtime::http::Reply &reply)
{
    while (m_isFrozen) {
        co_await runtime::sleepFor(std::chrono::milliseconds(20));
    }
    const u64 boot = m_boot;
    if (isDown()) {
        co_return;
    }
    const auto path = request.path();
    if (path == "/v1/generate") {
        co_await generate(request, boot, reply);
        co_return;
    }
    Response response = status(404);
    if (path == "/v1/state") {
        response = state();
    } else if (path == "/v1/orders/load") {
        response = co_await loadWeights(request);
    } else if (path == "/v1/cache-events") {
        u64 after = 0;
        const auto text = request.query("after");
        std::from_chars(text.data(), text.data() + text.size(), after);
        response = cacheEvents(after);
    } else if (path.starts_with(CachePrefix)) {
        response = serveCache(request);
    }
    co_await reply.send(response);
}

boost::asio::awaitable<void> Engine::generate(const Request &request, u64 boot, runtime::http::Reply &reply)
{
    const auto body = parseBody(request.body);
    Run run;
    run.boot = boot;
    if (!startRun(body, run)) {
        if (boot != m_boot) {
            co_return;
        }
        auto refusal = status(409);
        refusal.headers.emplace_back("Engine-Boot-Id", bootId());
        co_await reply.send(refusal);
        co_return;
    }
    bool shouldCrash = !m_options.crashTrigger.empty() && run.prompt.find(m_options.crashTrigger) != std::string::npos;
    {
        const std::lock_guard lock(m_mutex);
        shouldCrash = shouldCrash || m_running > runCapacity();
    }
    if (m_failureStatus != 0) {
        finishRun(run);
        auto failure = status(m_failureStatus);
        failure.headers.emplace_back("Engine-Boot-Id", bootId());
        co_await reply.send(failure);
    } else if (shouldCrash) {
        co_await runtime::sleepFor(std::chrono::milliseconds(20));
        if (run.boot == m_boot) {
            crash();
        }
    } else {
        co_await streamRun(run, reply);
        finishRun(run);
    }
    const std::lock_guard lock(m_mutex);
    --m_inFlight;
    if (run.boot != m_boot) {
        m_crashedInFlight -= std::min<u32>(m_crashedInFlight, 1);
    }
}

bool Engine::isDown() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashedInFlight > 0 || m_crashesInProgress > 0;
}

void Engine::finishRun(Run &run)
{
    const std::lock_guard lock(m_mutex);
    if (run.boot == m_boot && !std::exchange(run.hasFinished, true)) {
        m_running -= std::min<u32>(m_running, 1);
        ++m_finishedSinceBoot;
    }
}

bool Engine::startRun(const json::object &body, Run &run)
{
    run.prompt = textOf(body, "prompt");
    run.weightVersion = textOf(body, "weight_version");
    const auto name = textOf(body, "model") + "@" + run.weightVersion;
    const auto wanted = static_cast<u32>(numberOf(body, "max_tokens"));
    run.tokens = wanted == 0 ? m_options.defaultOutputTokens : wanted;
    const auto delivered = textOf(body, "delivered");
    run.firstToken = static_cast<u32>(std::count(delivered.begin(), delivered.end(), ' '));
    run.promptTokens = static_cast<u32>(run.prompt.size()) / BytesPerToken;
    const std::lock_guard lock(m_mutex);
    if (std::find(m_loadedModels.begin(), m_loadedModels.end(), name) == m_loadedModels.end()) {
        return false;
    }
    if (run.boot != m_boot) {
        return false;
    }
    run.cachedTokens = std::min(run.promptTokens, useCache(body));
    m_startedPrompts.push_back(run.prompt);
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
        isPrefix = isPrefix && m_cachedBlocks.count(name) > 0;
        cachedBlocks += isPrefix ? 1 : 0;
        cacheBlock(name);
    }
    return cachedBlocks * m_options.blockTokens;
}

void Engine::cacheBlock(const std::string &key)
{
    if (const auto known = m_cachedBlocks.find(key); known != m_cachedBlocks.end()) {
        m_recency.splice(m_recency.begin(), m_recency, known->second);
        return;
    }
    m_recency.push_front(key);
    m_cachedBlocks[key] = m_recency.begin();
    if (m_recency.size() > m_options.memoryBlocks) {
        m_evictions.emplace_back(++m_lastEvent, m_recency.back());
        m_cachedBlocks.erase(m_recency.back());
        m_recency.pop_back();
    }
}

boost::asio::awaitable<void> Engine::streamRun(Run &run, runtime::http::Reply &reply)
{
    Response head;
    head.headers.emplace_back("Content-Type", "application/jsonlines");
    head.headers.emplace_back("Engine-Boot-Id", bootId());
    const u32 uncachedTokens = run.promptTokens - run.cachedTokens;
    co_await runtime::sleepFor(Duration(1'000'000ULL * uncachedTokens / m_options.prefillTokensPerSecond));
    if (!co_await reply.begin(head)) {
        co_return;
    }
    const auto firstLine = headLine(run.promptTokens, run.cachedTokens, run.weightVersion);
    bool isOpen = co_await reply.write(firstLine);
    for (u32 i = run.firstToken; isOpen && i < run.tokens; ++i) {
        if (m_options.tokenMs > 0) {
            co_await runtime::sleepFor(std::chrono::milliseconds(m_options.tokenMs));
        }
        while (m_isFrozen && run.boot == m_boot) {
            co_await runtime::sleepFor(FreezePollInterval);
        }
        if (run.boot != m_boot || (m_isAbortingRuns && i > run.firstToken)) {
            co_return;
        }
        const auto text = textLine(outputToken(run.prompt, i));
        isOpen = co_await reply.write(text);
    }
    const auto done = doneLine(run.tokens - run.firstToken);
    // Ends the run before the last line is written, since the caller may start the next run as soon as it has read that line.
    finishRun(run);
    if (isOpen && co_await reply.write(done)) {
        co_await reply.end();
    }
}

boost::asio::awaitable<Response> Engine::loadWeights(const Request &request)
{
    const auto body = parseBody(request.body);
    const u64 fencingToken = numberOf(body, "fence");
    const auto model = textOf(body, "model");
    const auto name = model + "@" + textOf(body, "version");
    const auto isStale = [&] {
        return m_options.honoursFencing && fencingToken < m_highestFencingToken;
    };
    {
        const std::lock_guard lock(m_mutex);
        if (isStale()) {
            co_return status(409);
        }
        m_highestFencingToken = std::max(m_highestFencingToken, fencingToken);
    }
    co_await runtime::sleepFor(std::chrono::milliseconds(m_options.loadMs));
    const std::lock_guard lock(m_mutex);
    if (isStale()) {
        co_return status(409);
    }
    m_acceptedFencingTokens.push_back(fencingToken);
    std::erase_if(m_loadedModels, [&](const auto &loaded) { return loaded.starts_with(model + "@"); });
    m_loadedModels.push_back(name);
    co_return status(200);
}

Response Engine::serveCache(const Request &request)
{
    const auto key = std::string(request.path().substr(CachePrefix.size()));
    const std::lock_guard lock(m_mutex);
    if (request.method == "PUT") {
        // The payload starts with the key of its block; accepting another key would corrupt the cache.
        if (!request.body.starts_with(key)) {
            return status(400);
        }
        cacheBlock(key);
        return status(200);
    }
    if (m_cachedBlocks.count(key) == 0) {
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
    for (const auto &name : m_loadedModels) {
        loaded.push_back(json::value(name));
    }
    return status(200, json::serialize(json::object{{"boot_id", bootId()}, {"loaded", std::move(loaded)}, {"running", m_running}}));
}

Response Engine::cacheEvents(u64 after) const
{
    json::array dropped;
    const std::lock_guard lock(m_mutex);
    for (const auto &[sequence, key] : m_evictions) {
        if (sequence > after) {
            dropped.push_back(json::value(key));
        }
    }
    return status(200, json::serialize(json::object{{"first", 0}, {"last", m_lastEvent}, {"dropped", std::move(dropped)}}));
}

} // namespace standins
