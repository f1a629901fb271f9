#include <support/ports.hpp>

#include <boost/asio.hpp>
#include <memory>
#include <unistd.h>

namespace support {

using namespace burdock;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// The range lies below the one from which the system picks ports for outgoing connections.
constexpr u32 FirstPort = 12'000;
constexpr u32 BlockPorts = 200;
constexpr u32 Blocks = 100;

std::unique_ptr<Tcp::acceptor> tryBind(asio::io_context &context, u32 port)
{
    auto acceptor = std::make_unique<Tcp::acceptor>(context);
    boost::system::error_code error;
    const Tcp::endpoint endpoint(asio::ip::make_address("127.0.0.1"), static_cast<u16>(port));
    acceptor->open(endpoint.protocol());
    acceptor->bind(endpoint, error);
    return error ? nullptr : std::move(acceptor);
}

/**
 * @brief Ports that no other test process hands out.
 *
 * Guards against a daemon that finds its port taken when it is started again: it shows while test programs run beside each other, as
 * one hands out a port whose daemon of another is down. Holding the first port of a block for as long as the process lives keeps the
 * block to itself.
 */
class PortBlocks
{
public:
    [[nodiscard]] u32 next()
    {
        if (m_next == m_end) {
            takeBlock();
        }
        return m_next++;
    }

    [[nodiscard]] asio::io_context &context()
    {
        return m_context;
    }

private:
    void takeBlock()
    {
        for (u32 tried = 0;; ++tried) {
            const u32 first = FirstPort + (static_cast<u32>(getpid()) + tried) % Blocks * BlockPorts;
            if (auto held = tryBind(m_context, first)) {
                m_held.push_back(std::move(held));
                m_next = first + 1;
                m_end = first + BlockPorts;
                return;
            }
        }
    }

    asio::io_context m_context;
    std::vector<std::unique_ptr<Tcp::acceptor>> m_held;
    u32 m_next = 0;
    u32 m_end = 0;
};

} // namespace

u16 freePort()
{
    static PortBlocks s_blocks;
    while (true) {
        const u32 port = s_blocks.next();
        if (tryBind(s_blocks.context(), port)) {
            return static_cast<u16>(port);
        }
    }
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace support
