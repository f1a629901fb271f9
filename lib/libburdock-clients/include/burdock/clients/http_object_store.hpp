#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/runtime/http/client.hpp>

#include <atomic>

namespace burdock::clients {

/** @brief The platform's object API over HTTP; docs/INTERFACES.md describes the requests. */
class HttpObjectStore : public ObjectStore
{
public:
    /** @param timeout limit for connecting and for each read of a response; a watch adds its own wait */
    HttpObjectStore(const runtime::http::Address &address, Duration timeout);

    [[nodiscard]] boost::asio::awaitable<ReadResult> read(const ObjectId &id) override;
    [[nodiscard]] boost::asio::awaitable<WriteResult> create(const ObjectId &id, std::string_view value) override;
    [[nodiscard]] boost::asio::awaitable<WriteResult> replace(const ObjectId &id, std::string_view value, u64 version) override;
    [[nodiscard]] boost::asio::awaitable<ReadResult> watch(const ObjectId &id, u64 version, Duration wait) override;
    [[nodiscard]] boost::asio::awaitable<VmList> watchVms(u64 version, Duration wait) override;

private:
    [[nodiscard]] boost::asio::awaitable<WriteResult> write(const ObjectId &id, std::string_view value, std::string_view header,
                                                            std::string condition);

    runtime::http::Address m_address;
    Duration m_timeout;
};

} // namespace burdock::clients
