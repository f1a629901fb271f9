#include <burdock/weights/announcement_history.hpp>

#include <algorithm>
#include <set>

namespace burdock::weights {

namespace {

template <typename Combine>
AnnouncementHistory mergeWith(const AnnouncementHistory &left, const AnnouncementHistory &right, Combine combine)
{
    std::set<u64> versions;
    for (const auto *history : {&left, &right}) {
        for (const auto &announcement : *history) {
            versions.insert(announcement.version);
        }
    }
    AnnouncementHistory result;
    u64 previous = 0;
    for (const u64 version : versions) {
        result.push_back({version, combine(firstAnnouncedAfter(left, previous), firstAnnouncedAfter(right, previous))});
        previous = version;
    }
    return result;
}

} // namespace

std::optional<Duration> firstAnnouncedAfter(const AnnouncementHistory &history, u64 version)
{
    const auto next = std::find_if(history.begin(), history.end(),
                                   [version](const Announcement &announcement) { return announcement.version > version; });
    return next == history.end() ? std::nullopt : next->notBefore;
}

AnnouncementHistory mergeTightestBounds(const AnnouncementHistory &left, const AnnouncementHistory &right)
{
    auto result = mergeWith(left, right, [](std::optional<Duration> one, std::optional<Duration> other) { return std::max(one, other); });
    std::optional<Duration> latest;
    for (auto &announcement : result) {
        latest = std::max(latest, announcement.notBefore);
        announcement.notBefore = latest;
    }
    return result;
}

AnnouncementHistory fillUnknownBounds(const AnnouncementHistory &history, const AnnouncementHistory &fallback)
{
    return mergeWith(history, fallback, [](std::optional<Duration> known, std::optional<Duration> other) { return known ? known : other; });
}

AnnouncementHistory mergeEarliestBounds(const AnnouncementHistory &left, const AnnouncementHistory &right)
{
    auto result = mergeWith(left, right, [](std::optional<Duration> one, std::optional<Duration> other) {
        return one && other ? std::min(one, other) : std::max(one, other);
    });
    std::optional<Duration> next;
    for (auto announcement = result.rbegin(); announcement != result.rend(); ++announcement) {
        const bool isAfterNext = announcement->notBefore && next && *next < *announcement->notBefore;
        announcement->notBefore = isAfterNext ? next : announcement->notBefore;
        next = announcement->notBefore ? announcement->notBefore : next;
    }
    return result;
}

AnnouncementHistory shiftedBy(const AnnouncementHistory &history, Duration ahead)
{
    AnnouncementHistory shifted = history;
    for (auto &announcement : shifted) {
        if (announcement.notBefore) {
            *announcement.notBefore += ahead;
        }
    }
    return shifted;
}

AnnouncementHistory upTo(const AnnouncementHistory &history, u64 version)
{
    AnnouncementHistory kept = history;
    std::erase_if(kept, [version](const Announcement &announcement) { return announcement.version > version; });
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

void keepNewest(AnnouncementHistory &history, std::size_t maxEntries)
{
    while (history.size() > maxEntries) {
        history[1].notBefore = history[0].notBefore;
        history.erase(history.begin());
    }
}

} // namespace burdock::weights
