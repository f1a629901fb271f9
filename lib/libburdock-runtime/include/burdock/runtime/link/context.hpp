#pragma once

#include <burdock/runtime/link/keys.hpp>

#include <boost/asio/io_context.hpp>
#include <memory>

namespace burdock::runtime::link {

namespace detail {
class ContextImpl;
}

/**
 * @brief State shared by all links of a process: the ZeroMQ context, the keys and the authentication of peers.
 *
 * A peer is accepted only if it holds the deployment's secret key.
 */
class Context
{
public:
    Context(boost::asio::io_context &workers, const Keys &keys);
    ~Context();
    Context(const Context &) = delete;
    Context &operator=(const Context &) = delete;

    [[nodiscard]] detail::ContextImpl &impl();

private:
    std::unique_ptr<detail::ContextImpl> m_impl;
};

} // namespace burdock::runtime::link
