#include <burdock/membership/rendezvous.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::membership {

std::vector<std::string> responsibleMembers(u64 key, const std::vector<std::string> &members, std::size_t count)
{
    std::vector<std::pair<u64, std::size_t>> ranked;
    for (std::size_t i = 0; i < members.size(); ++i) {
        ranked.emplace_back(hash::hash64(members[i], key), i);
    }
    const auto taken = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(taken), ranked.end(), std::greater<>());
    std::vector<std::string> responsible;
    for (std::size_t i = 0; i < taken; ++i) {
        responsible.push_back(members[ranked[i].second]);
    }
    return responsible;
}

} // namespace burdock::membership
