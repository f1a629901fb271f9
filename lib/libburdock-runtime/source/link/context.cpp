#include <burdock/runtime/link/context.hpp>

#include "context_impl.hpp"

#include <boost/asio/strand.hpp>
#include <system_error>

namespace burdock::runtime::link {

namespace {

constexpr std::size_t Z85KeyLength = 40;
constexpr std::size_t RawKeyLength = 32;

// Frame indices of an authentication request (ZAP, ZeroMQ RFC 27), after the router's identity and an empty frame.
constexpr std::size_t ZapIdentity = 0;
constexpr std::size_t ZapVersion = 2;
constexpr std::size_t ZapRequestId = 3;
constexpr std::size_t ZapMechanism = 7;
constexpr std::size_t ZapCredentials = 8;
constexpr std::size_t MinZapFrames = 9;

std::string decodeKey(const std::string &key)
{
    std::string raw(RawKeyLength, '\0');
    if (key.size() != Z85KeyLength || zmq_z85_decode(reinterpret_cast<u8 *>(raw.data()), key.c_str()) == nullptr) {
        return {};
    }
    return raw;
}

} // namespace

Keys generateKeys()
{
    std::array<char, Z85KeyLength + 1> publicKey{};
    std::array<char, Z85KeyLength + 1> secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0) {
        throw std::system_error(errno, std::generic_category(), "can't generate CURVE keys");
    }
    return {publicKey.data(), secretKey.data()};
}

bool areValid(const Keys &keys)
{
    std::array<char, Z85KeyLength + 1> derived{};
    if (decodeKey(keys.publicKey).empty() || decodeKey(keys.secretKey).empty()) {
        return false;
    }
    return zmq_curve_public(derived.data(), keys.secretKey.c_str()) == 0 && keys.publicKey == derived.data();
}

namespace detail {

ContextImpl::ContextImpl(boost::asio::io_context &workers, const Keys &keys)
    : m_workers(workers)
    , m_keys(keys)
    , m_rawPublicKey(decodeKey(keys.publicKey))
    , m_context(std::make_shared<zmq::context_t>())
{
    startAuthenticator();
}

ContextImpl::~ContextImpl()
{
    m_authenticator->close();
}

std::shared_ptr<zmq::context_t> ContextImpl::zeroMq()
{
    return m_context;
}

Socket::Strand ContextImpl::makeStrand()
{
    return boost::asio::make_strand(m_workers.get_executor());
}

void ContextImpl::secureAsServer(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::curve_server, true);
    socket.set(zmq::sockopt::curve_secretkey, m_keys.secretKey);
    socket.set(zmq::sockopt::zap_domain, "burdock");
}

void ContextImpl::secureAsClient(zmq::socket_t &socket) const
{
    socket.set(zmq::sockopt::curve_serverkey, m_keys.publicKey);
    socket.set(zmq::sockopt::curve_publickey, m_keys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, m_keys.secretKey);
}

void ContextImpl::startAuthenticator()
{
    // The receiver replies on this socket; a weak pointer avoids an ownership cycle.
    auto weak = std::make_shared<std::weak_ptr<Socket>>();
    m_authenticator = std::make_shared<Socket>(makeStrand(), m_context, zmq::socket_type::router, [this, weak](Frames request) {
        if (const auto socket = weak->lock()) {
            socket->send(authenticate(request));
        }
    });
    *weak = m_authenticator;
    m_authenticator->raw().bind("inproc://zeromq.zap.01");
    m_authenticator->start();
}

Frames ContextImpl::authenticate(const Frames &request) const
{
    if (request.size() < MinZapFrames) {
        return {};
    }
    const bool isAuthorized = request[ZapMechanism] == "CURVE" && request[ZapCredentials] == m_rawPublicKey;
    return {request[ZapIdentity],
            "",
            request[ZapVersion],
            request[ZapRequestId],
            isAuthorized ? "200" : "400",
            isAuthorized ? "OK" : "not of this deployment",
            "",
            ""};
}

} // namespace detail

Context::Context(boost::asio::io_context &workers, const Keys &keys)
    : m_impl(std::make_unique<detail::ContextImpl>(workers, keys))
{
}

Context::~Context() = default;

detail::ContextImpl &Context::impl()
{
    return *m_impl;
}

} // namespace burdock::runtime::link
