#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/runtime/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdock::clients {

/** @brief A text generation run for an engine. */
struct GenerateRequest
{
    std::string runId; ///< hex
    std::string model;
    std::string weightVersion;
    std::string adapter;
    std::string prompt;
    std::string delivered; ///< text that the caller already has; the engine continues after it
    u32 maxTokens = 0; ///< 0 means the engine's default
    i32 priority = 0;
    std::vector<cache::BlockKey> blockKeys; ///< keys under which the engine caches the blocks of the prompt
};

/** @brief The first part of an engine's response: HTTP status, engine and token counts. */
struct GenerateHead
{
    runtime::http::Progress progress = runtime::http::Progress::NotSent;
    u16 status = 0; ///< 200; 409 if the weight version is not loaded; 429 or 503 if the engine rejected the run without starting it
    std::string bootId; ///< changes with each start of the engine
    std::string weightVersion;
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
};

/** @brief Process and loaded weights of an engine. */
struct EngineState
{
    bool isReachable = false;
    std::string bootId;
    std::vector<std::string> loadedVersions; ///< `model@version`
    std::optional<u32> running; ///< runs that the engine works on; not every engine reports it
};

enum class GenerateEventKind : u8 {
    Text,
    Ping, ///< the engine works on the run but has no output
    Done, ///< the response is complete
    Broken, ///< the response ended early or a line was malformed
};

struct GenerateEvent
{
    GenerateEventKind kind = GenerateEventKind::Broken;
    std::string text;
    u32 outputTokens = 0;
};

/** @brief One run on an engine; destroying it cancels the run. */
class Generation
{
public:
    virtual ~Generation() = default;

    /**
     * @brief Connects and queries the state of the engine process that start() will send the request to.
     *
     * A connection ends with the process that accepted it, so the run either starts in the process with this boot id or not at all.
     */
    [[nodiscard]] virtual boost::asio::awaitable<EngineState> open() = 0;

    /** @brief Sends the request on the connection of open() and waits for the head of the response. */
    [[nodiscard]] virtual boost::asio::awaitable<GenerateHead> start() = 0;

    /** @brief Waits for the next event. */
    [[nodiscard]] virtual boost::asio::awaitable<GenerateEvent> next() = 0;
};

/** @brief Cache blocks that the engine reported as dropped. */
struct CacheEvents
{
    bool isKnown = false; ///< false if the engine sent no valid response
    u64 lastSequence = 0;
    bool hasGap = false; ///< the engine no longer has some of the events that were asked for
    std::vector<std::string> dropped; ///< hex block keys
};

/** @brief Result of an order to load weights. */
enum class OrderResult : u8 {
    Done,
    Refused, ///< the fencing token is older than one that the engine has seen
    Failed,
};

/** @brief A model engine. Thread-safe. */
class Engine
{
public:
    virtual ~Engine() = default;

    /** @brief Prepares a run; Generation::open() connects and Generation::start() sends it. */
    [[nodiscard]] virtual std::unique_ptr<Generation> generate(const GenerateRequest &request) = 0;
    [[nodiscard]] virtual boost::asio::awaitable<EngineState> state() = 0;

    /** @brief Tells the engine to have this version of the model loaded; idempotent. */
    [[nodiscard]] virtual boost::asio::awaitable<OrderResult> load(const std::string &model, const std::string &version, u64 token) = 0;

    /** @brief The bytes of a cached block; nullopt if the engine does not hold it or can't be reached. */
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<std::string>> exportBlock(const cache::BlockKey &key) = 0;

    /** @brief Adds a block to the engine's cache; false if the engine did not accept it. */
    [[nodiscard]] virtual boost::asio::awaitable<bool> importBlock(const cache::BlockKey &key, const std::string &payload) = 0;

    /** @brief Cache events with a sequence number above the given one. */
    [[nodiscard]] virtual boost::asio::awaitable<CacheEvents> events(u64 afterSequence) = 0;
};

} // namespace burdock::clients
