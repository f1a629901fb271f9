#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <boost/json.hpp>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace standins {

using namespace burdock;

/** @brief Settings of a simulated engine. */
struct EngineOptions
{
    u32 prefillTokensPerSecond = 200'000;
    u32 tokenMs = 2;
    u32 defaultOutputTokens = 40;
    /** @brief The engine crashes when it has more concurrent runs than this while cold. */
    u32 coldRunCapacity = 4;
    u32 warmRunCapacity = 64;
    u32 warmAfterRuns = 4;
    u32 memoryBlocks = 4096;
    u32 payloadBytes = 4096;
    u32 blockTokens = 2048;
    u32 loadMs = 100;
    bool honoursFencing = true;
    /** @brief A prompt that contains this text crashes the engine; empty for none. */
    std::string crashTrigger = "POISON";
    /** @brief `model@version` that is loaded from the start; empty for none. */
    std::string initialModel;
};

/** @brief Returns the text that the engine generates for a prompt. */
[[nodiscard]] std::string expectedAnswer(const std::string &prompt, u32 tokens);

/** @brief Simulates a model engine with concurrent runs and a prefix cache; crashes above its run capacity, which is lower while cold. */
class Engine : private runtime::http::Handler
{
public:
    Engine(boost::asio::io_context &workers, const std::string &address, const EngineOptions &options);

    [[nodiscard]] std::string address() const;

    /** @brief Simulates a crash: closes all connections, drops the cache, and restarts cold once all earlier runs have ended. */
    void crash();

    /** @brief While set, answers no request and pauses running streams. */
    void setFrozen(bool isFrozen);
    /** @brief While set, ends each run after its first token without crashing. */
    void setAbortingRuns(bool isAborting);
    /** @brief Unless zero, each run begins and is then answered with this status. */
    void setFailureStatus(u16 status);

    [[nodiscard]] u32 crashes() const;
    [[nodiscard]] u32 maxRunning() const;
    [[nodiscard]] u32 started() const;
    /** @brief Number of started runs whose prompt contains the text. */
    [[nodiscard]] u32 startedContaining(const std::string &text) const;
    [[nodiscard]] std::vector<std::string> loadedModels() const;

    /** @brief Fencing tokens of the executed load orders, in order of execution. */
    [[nodiscard]] std::vector<u64> fencingTokens() const;

    /** @brief Keys of the cached blocks, in hexadecimal. */
    [[nodiscard]] std::set<std::string> cachedKeys() const;

private:
    struct Run
    {
        std::string prompt;
        u32 tokens = 0;
        u32 firstToken = 0;
        u32 promptTokens = 0;
        u32 cachedTokens = 0;
        std::string weightVersion;
        u64 boot = 0;
        bool hasFinished = false;
    };

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    boost::asio::awaitable<void> generate(const runtime::http::Request &request, u64 boot, runtime::http::Reply &reply);
    void finishRun(Run &run);
    boost::asio::awaitable<void> streamRun(Run &run, runtime::http::Reply &reply);
    boost::asio::awaitable<runtime::http::Response> loadWeights(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response serveCache(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response state() const;
    [[nodiscard]] runtime::http::Response cacheEvents(u64 after) const;
    [[nodiscard]] bool startRun(const boost::json::object &body, Run &run);
    [[nodiscard]] u32 useCache(const boost::json::object &body);
    void cacheBlock(const std::string &key);
    [[nodiscard]] u32 runCapacity() const;
    /** @brief Whether runs from before the last crash still have to end; until then requests get no response. */
    [[nodiscard]] bool isDown() const;
    [[nodiscard]] std::string bootId() const;

    EngineOptions m_options;
    std::atomic<u64> m_boot{1};
    std::atomic<bool> m_isFrozen{false};
    std::atomic<bool> m_isAbortingRuns{false};
    std::atomic<u16> m_failureStatus{0};
    mutable std::mutex m_mutex; // guards the members below
    u32 m_inFlight = 0;
    u32 m_crashesInProgress = 0; // connections from before the last crash may still be open
    u32 m_crashedInFlight = 0; // runs in flight that started before the last crash
    std::vector<std::string> m_loadedModels;
    std::list<std::string> m_recency; // cached keys, most recently used first
    std::map<std::string, std::list<std::string>::iterator> m_cachedBlocks;
    std::vector<std::pair<u64, std::string>> m_evictions;
    u64 m_lastEvent = 0;
    u64 m_highestFencingToken = 0;
    std::vector<u64> m_acceptedFencingTokens;
    std::vector<std::string> m_startedPrompts;
    u32 m_running = 0;
    u32 m_maxRunning = 0;
    u32 m_finishedSinceBoot = 0;
    runtime::http::Server m_server;
};

} // namespace standins
