#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

/** @brief Behaviour of a store VM. */
enum class StoreMode : u8 {
    Up,
    Full, ///< responds to uploads with 507
    FlipBits, ///< returns blocks with one changed bit
    Truncate, ///< returns the first half of a block
    WrongBlock, ///< returns another block
    Down, ///< closes each connection without a response
};

/** @brief Store VM for cache blocks. */
class Store : private runtime::http::Handler
{
public:
    Store(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(StoreMode mode);

    /** @brief Drops all parts and blocks, as if the VM had been replaced. */
    void clear();

    [[nodiscard]] std::size_t blocks() const;
    [[nodiscard]] u32 reads() const;

private:
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response respond(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response read(const std::string &key);

    std::atomic<StoreMode> m_mode{StoreMode::Up};
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_parts;
    std::map<std::string, std::string> m_blocks;
    u32 m_reads = 0;
    runtime::http::Server m_server;
};

} // namespace standins
