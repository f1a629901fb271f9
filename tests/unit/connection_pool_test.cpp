#include "connection_pool.hpp"

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <list>

using namespace burdock;
using namespace std::chrono_literals;
using gateway::ConnectionPool;
using gateway::PooledConnection;

namespace {

const TimePoint Start{1h};
const runtime::http::Address Nowhere{"127.0.0.1", 1};

} // namespace

// Guards against requests that take all descriptors for connections to endpoints.
TEST_CASE("no more connections than the limit are had at a time")
{
    boost::asio::io_context context;
    ConnectionPool pool(3);
    std::list<PooledConnection> connections;
    for (u32 i = 0; i < 3; ++i) {
        REQUIRE(pool.hasRoom());
        connections.push_back(pool.create(context.get_executor(), Nowhere));
    }
    CHECK_FALSE(pool.hasRoom());
    connections.pop_back();
    CHECK(pool.hasRoom());
}

// Guards against idle connections that leave no descriptor for a request.
TEST_CASE("an idle connection is closed for a new one, the one that would expire first")
{
    boost::asio::io_context context;
    ConnectionPool pool(2);
    auto first = pool.create(context.get_executor(), Nowhere);
    auto second = pool.create(context.get_executor(), Nowhere);
    pool.release("late", std::move(first), 10s, Start);
    pool.release("early", std::move(second), 5s, Start);
    REQUIRE(pool.hasRoom());
    const auto third = pool.create(context.get_executor(), Nowhere);
    CHECK(pool.hasRoom());
    pool.discard("early");
    CHECK(pool.hasRoom());
    pool.discard("late");
    CHECK(pool.hasRoom());
    const auto fourth = pool.create(context.get_executor(), Nowhere);
    CHECK_FALSE(pool.hasRoom());
}

TEST_CASE("expired connections no longer count")
{
    boost::asio::io_context context;
    ConnectionPool pool(1);
    pool.release("e1", pool.create(context.get_executor(), Nowhere), 5s, Start);
    pool.closeExpired(Start + 10s);
    const auto connection = pool.create(context.get_executor(), Nowhere);
    CHECK_FALSE(pool.hasRoom());
}

TEST_CASE("a connection may outlive its pool")
{
    boost::asio::io_context context;
    PooledConnection connection;
    {
        ConnectionPool pool(0);
        connection = pool.create(context.get_executor(), Nowhere);
        CHECK(pool.hasRoom());
    }
    CHECK(connection != nullptr);
    connection.reset();
}
