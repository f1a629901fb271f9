#include <support/ports.hpp>

#include <boost/asio.hpp>
#include <unistd.h>

namespace support {

using namespace burdock;

// The range lies below the one from which the system picks ports for outgoing connections.
u16 freePort()
{
    static u32 s_next = static_cast<u32>(getpid()) * 61;
    boost::asio::io_context context;
    while (true) {
        const auto port = static_cast<u16>(12'000 + s_next++ % 20'000);
        boost::asio::ip::tcp::acceptor acceptor(context);
        boost::system::error_code error;
        const boost::asio::ip::tcp::endpoint endpoint(boost::asio::ip::make_address("127.0.0.1"), port);
        acceptor.open(endpoint.protocol());
        acceptor.bind(endpoint, error);
        if (!error) {
            return port;
        }
    }
}

std::string freeAddress()
{
    return "127.0.0.1:" + std::to_string(freePort());
}

} // namespace support
