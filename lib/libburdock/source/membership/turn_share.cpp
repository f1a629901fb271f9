#include <burdock/membership/turn_share.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::membership {

u32 turnShare(u64 seed, u64 own, const std::vector<u64> &others, u32 total)
{
    const auto members = static_cast<u32>(others.size() + 1);
    const u32 remainder = total % members;
    const u64 ownRank = hash::mix64(seed ^ own);
    const auto isAhead = [seed, ownRank](u64 other) {
        return hash::mix64(seed ^ other) > ownRank;
    };
    const bool getsRemainder = remainder > 0 && std::count_if(others.begin(), others.end(), isAhead) < static_cast<i64>(remainder);
    return total / members + (getsRemainder ? 1 : 0);
}

} // namespace burdock::membership
