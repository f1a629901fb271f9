#pragma once

#include <burdock/runtime/http/server.hpp>

#include <atomic>
#include <map>
#include <mutex>
#include <string>

namespace standins {

using namespace burdock;

enum class StoreMode : u8 {
    Up,
    Full,
    FlipBits, ///< hands out blocks with a changed byte
    Truncate, ///< hands out the first half of a block
    WrongBlock, ///< hands out another block
    Down,
};

/** @brief A store VM of kept cache. */
class Store : private runtime::http::Handler
{
public:
    Store(boost::asio::io_context &workers, const std::string &address);

    [[nodiscard]] std::string address() const;
    void setMode(StoreMode mode);

    /** @brief Drops everything, as a VM that was replaced. */
    void clear();

    [[nodiscard]] std::size_t blocks() const;
    [[nodiscard]] u32 reads() const;

private:
    boost::asio::awaitable<void> handle(const runtime::http::Request &request, runtime::http::Reply &reply) override;
    [[nodiscard]] runtime::http::Response answer(const runtime::http::Request &request);
    [[nodiscard]] runtime::http::Response read(const std::string &key);

    std::atomic<StoreMode> m_mode{StoreMode::Up};
    mutable std::mutex m_mutex;
    std::map<std::string, std::string> m_parts;
    std::map<std::string, std::string> m_blocks;
    u32 m_reads = 0;
    runtime::http::Server m_server;
};

} // namespace standins
