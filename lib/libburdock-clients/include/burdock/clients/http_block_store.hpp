#pragma once

#include <burdock/clients/block_store.hpp>
#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/random_source.hpp>

namespace burdock::clients {

/** @brief A block store that is accessed over HTTP; docs/INTERFACES.md describes the requests. */
class HttpBlockStore : public BlockStore
{
public:
    /**
     * @param timeout limit for connecting and for each read of a response
     * @param random source of the temporary names of blocks that are being uploaded
     */
    HttpBlockStore(const runtime::http::Address &address, Duration timeout, runtime::RandomSource &random);

    [[nodiscard]] boost::asio::awaitable<PutResult> put(const cache::BlockKey &key, std::string_view payload) override;
    [[nodiscard]] boost::asio::awaitable<std::optional<std::string>> get(const cache::BlockKey &key) override;

private:
    runtime::http::Address m_address;
    Duration m_timeout;
    runtime::RandomSource &m_random;
};

} // namespace burdock::clients
