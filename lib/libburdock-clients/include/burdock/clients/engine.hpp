#pragma once

#include <burdock/cache/block_keys.hpp>
#include <burdock/runtime/http/client.hpp>

#include <boost/asio/awaitable.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace burdock::clients {

struct GenerateRequest
{
    std::string runId; ///< hex
    std::string model;
    std::string weightVersion;
    std::string adapter;
    std::string prompt;
    std::string delivered; ///< text to continue behind
    u32 maxTokens = 0; ///< 0 leaves it to the engine
    i32 priority = 0;
    std::vector<cache::BlockKey> blockKeys; ///< under which the engine caches the prompt's blocks
};

/** @brief The head of an engine's answer. */
struct GenerateHead
{
    runtime::http::Progress progress = runtime::http::Progress::NotSent;
    u16 status = 0; ///< 200; 409 if the weight version is not loaded; 429 or 503 if the engine took nothing
    std::string bootId; ///< differs for each start of the engine
    std::string weightVersion;
    u32 promptTokens = 0;
    u32 cachedTokens = 0;
};

enum class GenerateEventKind : u8 {
    Text,
    Done,
    Broken,
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
    [[nodiscard]] virtual boost::asio::awaitable<GenerateHead> start() = 0;
    [[nodiscard]] virtual boost::asio::awaitable<GenerateEvent> next() = 0;
};

struct EngineState
{
    bool isReachable = false;
    std::string bootId;
    std::vector<std::string> loadedVersions; ///< `model@version`
};

/** @brief Cache blocks that the engine dropped, as far as it says. */
struct CacheEvents
{
    bool isKnown = false;
    u64 lastSequence = 0;
    bool hasGap = false;
    std::vector<std::string> dropped; ///< hex block keys
};

enum class OrderResult : u8 {
    Done,
    Refused, ///< the fencing number is older than one that the engine has seen
    Failed,
};

/** @brief A model engine. Thread-safe. */
class Engine
{
public:
    virtual ~Engine() = default;

    [[nodiscard]] virtual std::unique_ptr<Generation> generate(const GenerateRequest &request) = 0;
    [[nodiscard]] virtual boost::asio::awaitable<EngineState> state() = 0;

    /** @brief Orders "this version of this model is loaded"; idempotent. */
    [[nodiscard]] virtual boost::asio::awaitable<OrderResult> load(const std::string &model, const std::string &version, u64 fence) = 0;

    /** @brief The bytes of a cached block; nothing if the engine does not hold it. */
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<std::string>> exportBlock(const cache::BlockKey &key) = 0;
    [[nodiscard]] virtual boost::asio::awaitable<bool> importBlock(const cache::BlockKey &key, const std::string &payload) = 0;
    [[nodiscard]] virtual boost::asio::awaitable<CacheEvents> events(u64 afterSequence) = 0;
};

} // namespace burdock::clients
