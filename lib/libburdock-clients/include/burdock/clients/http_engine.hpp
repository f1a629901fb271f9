#pragma once

#include <burdock/clients/engine.hpp>

namespace burdock::clients {

/** @brief An engine over HTTP; docs/INTERFACES.md has the calls. */
class HttpEngine : public Engine
{
public:
    /** @param silence longest silence of the engine, which sends a ping line each second while it has nothing to say */
    HttpEngine(const runtime::http::Address &address, Duration silence);

    [[nodiscard]] std::unique_ptr<Generation> generate(const GenerateRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<EngineState> state() override;
    [[nodiscard]] boost::asio::awaitable<OrderResult> load(const std::string &model, const std::string &version, u64 fence) override;
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> exportBlock(const cache::BlockKey &key) override;
    [[nodiscard]] boost::asio::awaitable<bool> importBlock(const cache::BlockKey &key, const std::string &payload) override;
    [[nodiscard]] boost::asio::awaitable<CacheEvents> events(u64 afterSequence) override;

private:
    runtime::http::Address m_address;
    Duration m_silence;
};

} // namespace burdock::clients
