#include <support/ports.hpp>

#include <boost/asio.hpp>
#include <memory>
#include <unistd.h>

namespace support {

using namespace burdock;

namespace {

namespace asio = boost::asio;
using Tcp = asio::ip::tcp;

// The range lies below the ephemeral port range of the system.
constexpr u32 FirstPort = 12'000;
constexpr u32 PortsPerBlock = 200;
constexpr u32 BlockCount = 100;

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
 * @brief Allocates ports that no other test process allocates.
 *
 * Without this, a restarted daemon can find its port in use: when test programs run in parallel, one may allocate a port while the
 * daemon of another program that owns it is down. Keeping the first port of a block bound for the lifetime of the process reserves the
 * whole block.
 */
class PortAllocator
{
public:
    [[nodiscard]] u32 next()
    {
        if (m_next == m_end) {
            reserveBlock();
        }
        return m_next++;
    }

    [[nodiscard]] asio::io_context &context()
    {
        return m_context;
    }

private:
    void reserveBlock()
    {
        for (u32 attempt = 0;; ++attempt) {
            const u32 first = FirstPort + (static_cast<u32>(getpid()) + attempt) % BlockCount * PortsPerBlock;
            if (auto acceptor = tryBind(m_context, first)) {
                m_reservations.push_back(std::move(acceptor));
                m_next = first + 1;
                m_end = first + PortsPerBlock;
                return;
            }
        }
    }

    asio::io_context m_context;
    std::vector<std::unique_ptr<Tcp::acceptor>> m_reservations;
    u32 m_next = 0;
    u32 m_end = 0;
};

} // namespace

u16 freePort()
{
    static PortAllocator s_allocator;
    while (true) {
        const u32 port = s_allocator.next();
        if (tryBind(s_allocator.context(), port)) {
            return static_cast<u16>(port);
        }
    }
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace support
