#pragma once

#include "socket.hpp"

#include <burdock/runtime/link/context.hpp>

namespace burdock::runtime::link::detail {

/** @brief Implementation of Context with ZeroMQ. */
class ContextImpl
{
public:
    ContextImpl(boost::asio::io_context &workers, const Keys &keys);
    ~ContextImpl();
    ContextImpl(const ContextImpl &) = delete;
    ContextImpl &operator=(const ContextImpl &) = delete;

    [[nodiscard]] std::shared_ptr<zmq::context_t> zeroMq();
    [[nodiscard]] Socket::Strand makeStrand();
    void secureAsServer(zmq::socket_t &socket) const;
    void secureAsClient(zmq::socket_t &socket) const;

private:
    void startAuthenticator();
    [[nodiscard]] Frames authenticate(const Frames &request) const;

    boost::asio::io_context &m_workers;
    Keys m_keys;
    std::string m_rawPublicKey;
    std::shared_ptr<zmq::context_t> m_context; // shared with the sockets
    std::shared_ptr<Socket> m_authenticator;
};

} // namespace burdock::runtime::link::detail
