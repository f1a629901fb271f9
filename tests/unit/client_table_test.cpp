#include <burdock/admission/client_table.hpp>

#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

using namespace burdock;
using namespace std::chrono_literals;
using admission::ClientPhase;
using admission::ClientTable;

namespace {

const TimePoint Start{1h};

/** @brief A table whose clients are numbered from 1 on. */
class Clients
{
public:
    void add(ClientPhase phase, Duration at)
    {
        const auto position = m_table.add(++m_last, Start + at);
        if (phase != ClientPhase::Silent) {
            m_table.enter(position, phase, Start + at);
        }
        m_positions[m_last] = position;
    }

    void enter(u64 id, ClientPhase phase, Duration at)
    {
        m_table.enter(m_positions.at(id), phase, Start + at);
    }

    [[nodiscard]] u64 closeForConnection(Duration at)
    {
        const auto client = m_table.closeForConnection(Start + at);
        return client ? client->id : 0;
    }

    [[nodiscard]] u64 closeStalled(Duration at)
    {
        const auto client = m_table.closeStalled(Start + at);
        return client ? client->id : 0;
    }

    void remove(u64 id)
    {
        m_table.remove(m_positions.at(id));
    }

    [[nodiscard]] std::size_t size() const
    {
        return m_table.size();
    }

private:
    ClientTable m_table;
    std::map<u64, ClientTable::Position> m_positions;
    u64 m_last = 0;
};

} // namespace

// Guards against ordinary callers that are closed because others came before them.
TEST_CASE("clients that were refused make room first, then stalled ones, then idle ones")
{
    Clients clients;
    clients.add(ClientPhase::Idle, 0s);
    clients.add(ClientPhase::Sending, 1s);
    clients.add(ClientPhase::Silent, 2s);
    clients.add(ClientPhase::Receiving, 3s);
    clients.add(ClientPhase::Discarding, 4s);
    clients.add(ClientPhase::Working, 0s);
    CHECK(clients.closeForConnection(10s) == 5);
    CHECK(clients.closeForConnection(10s) == 2);
    CHECK(clients.closeForConnection(10s) == 3);
    CHECK(clients.closeForConnection(10s) == 4);
    CHECK(clients.closeForConnection(10s) == 1);
    CHECK(clients.closeForConnection(10s) == 0);
    CHECK(clients.size() == 1);
}

// Guards against a request that is cut off while an endpoint works on it.
TEST_CASE("a client whose request is being handled is never closed")
{
    Clients clients;
    clients.add(ClientPhase::Working, 0s);
    CHECK(clients.closeForConnection(1h) == 0);
    CHECK(clients.closeStalled(1h) == 0);
}

// Guards against ordinary clients that are closed in the moments in which they send or take a message.
TEST_CASE("clients that have just begun, or make progress, are not closed")
{
    Clients clients;
    clients.add(ClientPhase::Silent, 0s);
    clients.add(ClientPhase::Receiving, 0s);
    clients.add(ClientPhase::Sending, 0s);
    clients.add(ClientPhase::Idle, 0s);
    clients.add(ClientPhase::Discarding, 0s);
    CHECK(clients.closeForConnection(100ms) == 0);
    clients.enter(2, ClientPhase::Receiving, 900ms);
    CHECK(clients.closeStalled(1500ms) == 3);
    CHECK(clients.closeStalled(1500ms) == 0);
    CHECK(clients.closeStalled(1900ms) == 2);
}

// Guards against connections that hold memory and are kept because those that hold none were chosen.
TEST_CASE("only clients that send or take a message are closed for memory, the longest stalled first")
{
    Clients clients;
    clients.add(ClientPhase::Silent, 0s);
    clients.add(ClientPhase::Idle, 0s);
    clients.add(ClientPhase::Discarding, 0s);
    clients.add(ClientPhase::Sending, 2s);
    clients.add(ClientPhase::Receiving, 1s);
    CHECK(clients.closeStalled(10s) == 5);
    CHECK(clients.closeStalled(10s) == 4);
    CHECK(clients.closeStalled(10s) == 0);
}

// Guards against a connection that is closed twice, or handled after it was chosen.
TEST_CASE("a client that is being closed stays so, and counts no longer")
{
    Clients clients;
    clients.add(ClientPhase::Receiving, 0s);
    CHECK(clients.closeStalled(2s) == 1);
    clients.enter(1, ClientPhase::Working, 2s);
    CHECK(clients.closeStalled(10s) == 0);
    CHECK(clients.closeForConnection(10s) == 0);
    CHECK(clients.size() == 0);
    clients.remove(1);
    CHECK(clients.size() == 0);
}

TEST_CASE("whatever clients do, the one closed for memory has been longest without progress")
{
    std::mt19937 random(20261206);
    Clients clients;
    std::map<u64, std::pair<ClientPhase, Duration>> expected;
    Duration now{};
    for (u64 id = 1; id <= 200; ++id) {
        clients.add(ClientPhase::Silent, now);
        expected[id] = {ClientPhase::Silent, now};
    }
    for (u32 step = 0; step < 20'000; ++step) {
        now += std::chrono::microseconds(random() % 20'000);
        const u64 id = 1 + random() % 200;
        if (expected.count(id) == 0) {
            continue;
        }
        if (random() % 10 > 0) {
            const auto phase = static_cast<ClientPhase>(random() % 6);
            clients.enter(id, phase, now);
            expected[id] = {phase, now};
            continue;
        }
        const u64 closed = clients.closeStalled(now);
        u64 longest = 0;
        for (const auto &[other, state] : expected) {
            const bool isStalled
                = (state.first == ClientPhase::Receiving || state.first == ClientPhase::Sending) && now - state.second >= 1s;
            if (isStalled && (longest == 0 || state.second < expected[longest].second)) {
                longest = other;
            }
        }
        REQUIRE((closed == longest || (closed != 0 && expected.at(closed).second == expected.at(longest).second)));
        expected.erase(closed);
    }
    CHECK(clients.size() == expected.size());
}
