#include <burdock/weights/naming_history.hpp>

#include <algorithm>
#include <set>

namespace burdock::weights {

namespace {

template <typename Combine>
NamingHistory combined(const NamingHistory &left, const NamingHistory &right, Combine combine)
{
    std::set<u64> versions;
    for (const auto *history : {&left, &right}) {
        for (const auto &naming : *history) {
            versions.insert(naming.version);
        }
    }
    NamingHistory result;
    u64 before = 0;
    for (const u64 version : versions) {
        result.push_back({version, combine(firstNamedAfter(left, before), firstNamedAfter(right, before))});
        before = version;
    }
    return result;
}

} // namespace

std::optional<Duration> firstNamedAfter(const NamingHistory &history, u64 version)
{
    const auto next = std::find_if(history.begin(), history.end(), [version](const Naming &naming) { return naming.version > version; });
    return next == history.end() ? std::nullopt : next->notBefore;
}

NamingHistory tightest(const NamingHistory &left, const NamingHistory &right)
{
    auto result = combined(left, right, [](std::optional<Duration> one, std::optional<Duration> other) { return std::max(one, other); });
    std::optional<Duration> latest;
    for (auto &naming : result) {
        latest = std::max(latest, naming.notBefore);
        naming.notBefore = latest;
    }
    return result;
}

NamingHistory completed(const NamingHistory &history, const NamingHistory &further)
{
    return combined(history, further, [](std::optional<Duration> known, std::optional<Duration> other) { return known ? known : other; });
}

NamingHistory earliest(const NamingHistory &left, const NamingHistory &right)
{
    auto result = combined(left, right, [](std::optional<Duration> one, std::optional<Duration> other) {
        return one && other ? std::min(one, other) : std::max(one, other);
    });
    std::optional<Duration> next;
    for (auto naming = result.rbegin(); naming != result.rend(); ++naming) {
        const bool isLater = naming->notBefore && next && *next < *naming->notBefore;
        naming->notBefore = isLater ? next : naming->notBefore;
        next = naming->notBefore ? naming->notBefore : next;
    }
    return result;
}

NamingHistory shiftedBy(const NamingHistory &history, Duration ahead)
{
    NamingHistory shifted = history;
    for (auto &naming : shifted) {
        if (naming.notBefore) {
            *naming.notBefore += ahead;
        }
    }
    return shifted;
}

NamingHistory upTo(const NamingHistory &history, u64 version)
{
    NamingHistory kept = history;
    std::erase_if(kept, [version](const Naming &naming) { return naming.version > version; });
    return kept;
}

bool isOrdered(const NamingHistory &history)
{
    return std::adjacent_find(history.begin(), history.end(),
                              [](const Naming &earlier, const Naming &later) {
                                  return later.version <= earlier.version || later.notBefore < earlier.notBefore;
                              })
        == history.end();
}

void keepNewest(NamingHistory &history, std::size_t entries)
{
    while (history.size() > entries) {
        history[1].notBefore = history[0].notBefore;
        history.erase(history.begin());
    }
}

} // namespace burdock::weights
