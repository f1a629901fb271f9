#pragma once

#include <burdock/clients/block_store.hpp>
#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/random_source.hpp>

namespace burdock::clients {

/** @brief A store VM over HTTP; docs/INTERFACES.md has the calls. */
class HttpBlockStore : public BlockStore
{
public:
    HttpBlockStore(const runtime::http::Address &address, Duration timeout, runtime::RandomSource &random);

    [[nodiscard]] boost::asio::awaitable<PutResult> put(const cache::BlockKey &key, std::string_view payload) override;
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> get(const cache::BlockKey &key) override;

private:
    runtime::http::Address m_address;
    Duration m_timeout;
    runtime::RandomSource &m_random;
};

} // namespace burdock::clients
