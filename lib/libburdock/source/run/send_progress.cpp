#include <burdock/run/send_progress.hpp>

namespace burdock::run {

namespace {

/** Probes are sent ever more rarely, and single ones are lost. */
constexpr u32 MinUnansweredProbes = 2;

} // namespace

Reception receptionOf(const SendProgress &progress, Duration patience)
{
    if (progress.unacknowledgedSegments == 0 && progress.unsentBytes == 0) {
        return Reception::Received;
    }
    if (progress.sinceAcknowledgement < patience) {
        return Reception::ReadsLate;
    }
    const bool isProbed = progress.unacknowledgedSegments == 0;
    // A peer without room drops segments but acknowledges what it has, each time they are sent again.
    const bool isSilent
        = isProbed ? progress.unansweredProbes >= MinUnansweredProbes : progress.sinceAcknowledgement >= 2 * progress.retransmissionTimeout;
    return isSilent ? Reception::Silent : Reception::ReadsLate;
}

} // namespace burdock::run
