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

struct EngineOptions
{
    u32 prefillTokensPerSecond = 200'000;
    u32 tokenMs = 2;
    u32 defaultTokens = 40;
    /** More runs at once than this while cold, and the engine falls over. */
    u32 coldRunCapacity = 4;
    u32 warmRunCapacity = 64;
    u32 warmAfterRuns = 4;
    u32 memoryBlocks = 4096;
    u32 payloadBytes = 4096;
    u32 blockTokens = 2048;
    u32 loadMs = 100;
    bool honoursFencing = true;
    /** A prompt that contains this text crashes the engine; empty for none. */
    std::string poison = "POISON";
    /** `model@version` that is loaded from the start; empty for none. */
    std::string loaded;
};

/** @brief The answer that the engine gives to a prompt. */
[[nodiscard]] std::string expectedAnswer(const std::string &prompt, u32 tokens);

/** @brief A model engine: batches, caches prefixes, falls over when pressed while cold. */
class Engine : private runtime::http::Handler
{
public:
    Engine(boost::asio::io_context &workers, const std::string &address, const EngineOptions &options);

    [[nodiscard]] std::string address() const;

    /** @brief Falls over: cuts all connections, forgets all cache, and is back, cold, once none of its earlier runs is left. */
    void crash();

    /** @brief Does not answer anything until set back. */
    void setFrozen(bool isFrozen);
    /** @brief Breaks every run off after its first token, without falling over. */
    void setAbortingRuns(bool isBreaking);

    [[nodiscard]] u32 crashes() const;
    [[nodiscard]] u32 maxRunning() const;
    [[nodiscard]] u32 started() const;
    [[nodiscard]] u32 startedContaining(const std::string &text) const;
    [[nodiscard]] std::vector<std::string> loadedModels() const;

    /** @brief Distinct fencing numbers of orders that were carried out, in order. */
    [[nodiscard]] std::vector<u64> fencingTokens() const;

    /** @brief Block keys that the engine holds, hex, with the customer-visible prompt prefix that made them. */
    [[nodiscard]] std::set<std::string> cachedKeys() const;

private:
    struct Run
    {
        std::string prompt;
        u32 tokens = 0;
        u32 begin = 0;
        u32 promptTokens = 0;
        u32 cachedTokens = 0;
        std::string weightVersion;
        u64 boot = 0;
        bool hasFinished = false;
    };

    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    boost::asio::awaitable<void> generate(const runtime::http::Request &request, runtime::http::Reply &reply);
    void finish(Run &run);
    boost::asio::awaitable<void> stream(Run &run, runtime::http::Reply &reply);
    boost::asio::awaitable<runtime::http::Response> load(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response cache(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response state() const;
    [[nodiscard]] runtime::http::Response events(u64 after) const;
    [[nodiscard]] bool begin(const boost::json::object &body, Run &run);
    [[nodiscard]] u32 useCache(const boost::json::object &body);
    void hold(const std::string &key);
    [[nodiscard]] u32 bears() const;
    /** @brief Still ending what it ran before it fell over; connections are cut until then. */
    [[nodiscard]] bool isDown() const;
    [[nodiscard]] std::string bootId() const;

    EngineOptions m_options;
    std::atomic<u64> m_boot{1};
    std::atomic<bool> m_isFrozen{false};
    std::atomic<bool> m_isBreaking{false};
    mutable std::mutex m_mutex; // guards what follows
    u32 m_inFlight = 0;
    u32 m_dying = 0; // of those in flight, what ran before the last crash
    std::vector<std::string> m_loaded;
    std::list<std::string> m_order; // held keys, newest first
    std::map<std::string, std::list<std::string>::iterator> m_held;
    std::vector<std::pair<u64, std::string>> m_dropped;
    u64 m_lastEvent = 0;
    u64 m_highestFence = 0;
    std::vector<u64> m_fences;
    std::vector<std::string> m_prompts;
    u32 m_running = 0;
    u32 m_maxRunning = 0;
    u32 m_finishedSinceBoot = 0;
    runtime::http::Server m_server;
};

} // namespace standins
