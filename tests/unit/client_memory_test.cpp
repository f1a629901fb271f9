#include <burdock/admission/client_memory.hpp>

#include <doctest/doctest.h>
#include <list>

using namespace burdock;
using admission::ClientMemory;
using admission::ClientMessage;
using admission::ClientShare;

namespace {

constexpr u64 Total = 1'000'000;

} // namespace

TEST_CASE("the number of clients' connections is bounded by descriptors and memory")
{
    CHECK(admission::clientBudget(0, 0).connections == 0);
    CHECK(admission::clientBudget(4100, 0).connections == 2460);
    CHECK(admission::clientBudget(0, 88).connections > 1000);
    CHECK(admission::clientBudget(4100, 88).connections == admission::clientBudget(0, 88).connections);
    CHECK(admission::clientBudget(4100, 512).connections == 2460);
}

// Guards against limits that hold one by one, but not together at the most connections.
TEST_CASE("connections and messages together take no more than their share of the memory and the descriptors")
{
    for (const u32 memory : {32U, 64U, 88U, 110U, 128U, 160U, 260U, 512U, 1024U}) {
        for (const u32 descriptors : {64U, 512U, 1024U, 4096U, 8192U, 16384U}) {
            CAPTURE(memory);
            CAPTURE(descriptors);
            const auto budget = admission::clientBudget(descriptors, memory);
            CHECK(budget.connections > 0);
            CHECK(budget.connections * admission::ConnectionBytes + budget.messageBytes <= u64{memory} * 1024 * 1024 * 64 / 100);
            CHECK(budget.connections + budget.endpointConnections <= descriptors * 9 / 10);
        }
    }
}

// Guards against a limit that a caller within the stated ones meets while there are no others.
TEST_CASE("one request with a body and a head of the full size fits into the smallest gateway")
{
    const auto budget = admission::clientBudget(4100, 88);
    ClientMemory memory(budget.messageBytes);
    ClientShare share(memory);
    constexpr u64 HeaderBytes = 16 * 1024;
    constexpr u64 BodyBytes = 4 * 1024 * 1024;
    const u64 bytes = admission::headBytes(HeaderBytes / 4, HeaderBytes) + admission::bodyBytes(BodyBytes);
    CHECK(share.tryResize(bytes, ClientMessage::Request));
}

// Guards against long requests that leave no room for short ones, and against requests that leave none for answers.
TEST_CASE("requests leave room for shorter ones and for answers")
{
    ClientMemory memory(Total);
    std::list<ClientShare> requests;
    for (u64 bytes = Total; bytes >= 1000;) {
        requests.emplace_back(memory);
        if (!requests.back().tryResize(bytes, ClientMessage::Request)) {
            requests.pop_back();
            bytes /= 2;
        }
    }
    CHECK(requests.size() > 2);
    CHECK(memory.usedBytes() <= Total * 9 / 10);
    ClientShare answer(memory);
    CHECK_FALSE(answer.tryResize(Total - memory.usedBytes() + 1, ClientMessage::Answer));
    CHECK(answer.tryResize(Total - memory.usedBytes(), ClientMessage::Answer));
    CHECK(memory.usedBytes() == Total);
}

TEST_CASE("memory that a connection returns is free for others")
{
    ClientMemory memory(Total);
    {
        ClientShare share(memory);
        CHECK(share.tryResize(Total / 2, ClientMessage::Request));
        CHECK(share.tryResize(Total / 4, ClientMessage::Request));
        CHECK(memory.usedBytes() == Total / 4);
        CHECK_FALSE(share.tryResize(Total + 1, ClientMessage::Answer));
        CHECK(share.bytes() == Total / 4);
        share.clear();
        CHECK(memory.usedBytes() == 0);
        CHECK(share.tryResize(Total / 3, ClientMessage::Answer));
    }
    CHECK(memory.usedBytes() == 0);
}

// Guards against a connection that can't become smaller while there is no memory.
TEST_CASE("a connection can return a part of its memory while there is none")
{
    ClientMemory memory(Total);
    ClientShare full(memory);
    CHECK(full.tryResize(Total, ClientMessage::Answer));
    CHECK(full.tryResize(Total - 1, ClientMessage::Request));
    CHECK(memory.usedBytes() == Total - 1);
}
