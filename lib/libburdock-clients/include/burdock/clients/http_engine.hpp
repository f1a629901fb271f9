#pragma once

#include <burdock/clients/engine.hpp>

namespace burdock::clients {

/** @brief An engine that is accessed over HTTP; docs/INTERFACES.md describes the requests. */
class HttpEngine : public Engine
{
public:
    /** @param ioTimeout limit for connecting and for each read, except in load(); an engine without output sends a ping line every second
     */
    HttpEngine(const runtime::http::Address &address, Duration ioTimeout);

    [[nodiscard]] std::unique_ptr<Generation> generate(const GenerateRequest &request) override;
    [[nodiscard]] boost::asio::awaitable<EngineState> state() override;
    [[nodiscard]] boost::asio::awaitable<OrderResult> load(const std::string &model, const std::string &version, u64 token) override;
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> exportBlock(const cache::BlockKey &key) override;
    [[nodiscard]] boost::asio::awaitable<bool> importBlock(const cache::BlockKey &key, const std::string &payload) override;
    [[nodiscard]] boost::asio::awaitable<CacheEvents> events(u64 afterSequence) override;

private:
    runtime::http::Address m_address;
    Duration m_ioTimeout;
};

} // namespace burdock::clients
