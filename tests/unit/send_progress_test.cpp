#include <burdock/run/send_progress.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using run::Reception;
using run::SendProgress;

namespace {

constexpr Duration Patience = std::chrono::seconds(3);

SendProgress progressOf(u32 unacknowledgedSegments, u64 unsentBytes, Duration sinceAcknowledgement)
{
    SendProgress progress;
    progress.unacknowledgedSegments = unacknowledgedSegments;
    progress.unsentBytes = unsentBytes;
    progress.sinceAcknowledgement = sinceAcknowledgement;
    progress.retransmissionTimeout = std::chrono::milliseconds(200);
    return progress;
}

bool is(const SendProgress &progress, Reception reception)
{
    return receptionOf(progress, Patience) == reception;
}

} // namespace

TEST_CASE("a peer that has acknowledged everything has received it, however long ago")
{
    CHECK(is(progressOf(0, 0, std::chrono::hours(1)), Reception::Received));
}

// Guards against ending connections to peers that only read late.
TEST_CASE("a peer with a closed window that answers probes reads late, however long that takes")
{
    auto progress = progressOf(0, 1000, std::chrono::seconds(60));
    progress.unansweredProbes = 1;
    CHECK(is(progress, Reception::ReadsLate));
    progress.unansweredProbes = 2;
    CHECK(is(progress, Reception::Silent));
}

// Guards against taking the growing pauses between retransmissions for silence of a peer that has no room for a segment.
TEST_CASE("a peer that drops segments but acknowledges what it has reads late")
{
    auto progress = progressOf(1, 0, Patience);
    CHECK(is(progress, Reception::Silent));
    progress.retransmissionTimeout = std::chrono::seconds(3);
    CHECK(is(progress, Reception::ReadsLate));
    progress.sinceAcknowledgement = std::chrono::seconds(6);
    CHECK(is(progress, Reception::Silent));
}

TEST_CASE("a peer that was heard a moment ago isn't silent")
{
    CHECK(is(progressOf(5, 1000, Patience - std::chrono::milliseconds(1)), Reception::ReadsLate));
}
