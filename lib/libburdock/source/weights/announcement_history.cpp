#include <burdock/weights/announcement_history.hpp>

#include <algorithm>
#include <set>

namespace burdock::weights {

namespace {

template <typename Combine>
AnnouncementHistory combined(const AnnouncementHistory &left, const AnnouncementHistory &right, Combine combine)
{
    std::set<u64> versions;
    for (const auto *history : {&left, &right}) {
        for (const auto &naming : *history) {
            versions.insert(naming.version);
        }
    }
    AnnouncementHistory result;
    u64 before = 0;
    for (const u64 version : versions) {
        result.push_back({version, combine(firstAnnouncedAfter(left, before), firstAnnouncedAfter(right, before))});
        before = version;
    }
    return result;
}

} // namespace

std::optional<Duration> firstAnnouncedAfter(const AnnouncementHistory &history, u64 version)
{
    const auto next
        = std::find_if(history.begin(), history.end(), [version](const Announcement &naming) { return naming.version > version; });
    return next == history.end() ? std::nullopt : next->notBefore;
}

AnnouncementHistory tightest(const AnnouncementHistory &left, const AnnouncementHistory &right)
{
    auto result = combined(left, right, [](std::optional<Duration> one, std::optional<Duration> other) { return std::max(one, other); });
    std::optional<Duration> latest;
    for (auto &naming : result) {
        latest = std::max(latest, naming.notBefore);
        naming.notBefore = latest;
    }
    return result;
}

AnnouncementHistory completed(const AnnouncementHistory &history, const AnnouncementHistory &further)
{
    return combined(history, further, [](std::optional<Duration> known, std::optional<Duration> other) { return known ? known : other; });
}

AnnouncementHistory earliest(const AnnouncementHistory &left, const AnnouncementHistory &right)
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

AnnouncementHistory shiftedBy(const AnnouncementHistory &history, Duration ahead)
{
    AnnouncementHistory shifted = history;
    for (auto &naming : shifted) {
        if (naming.notBefore) {
            *naming.notBefore += ahead;
        }
    }
    return shifted;
}

AnnouncementHistory upTo(const AnnouncementHistory &history, u64 version)
{
    AnnouncementHistory kept = history;
    std::erase_if(kept, [version](const Announcement &naming) { return naming.version > version; });
    return kept;
}

bool isOrdered(const AnnouncementHistory &history)
{
    return std::adjacent_find(history.begin(), history.end(),
                              [](const Announcement &earlier, const Announcement &later) {
                                  return later.version <= earlier.version || later.notBefore < earlier.notBefore;
                              })
        == history.end();
}

void keepNewest(AnnouncementHistory &history, std::size_t entries)
{
    while (history.size() > entries) {
        history[1].notBefore = history[0].notBefore;
        history.erase(history.begin());
    }
}

} // namespace burdock::weights
