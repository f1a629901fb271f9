#include <burdock/runtime/sleep.hpp>

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock::runtime {

boost::asio::awaitable<void> sleepFor(Duration duration)
{
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, duration);
    co_await timer.async_wait(boost::asio::use_awaitable);
}

} // namespace burdock::runtime
