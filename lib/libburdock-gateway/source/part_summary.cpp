#include "part_summary.hpp"

#include <burdock/cache/engine_cache_estimate.hpp>

#include <algorithm>
#include <sstream>

namespace burdock::gateway {

u64 countNonEmpty(const std::vector<std::string> &addresses)
{
    return static_cast<u64>(std::count_if(addresses.begin(), addresses.end(), [](const std::string &address) { return !address.empty(); }));
}

std::string formatParts(const cache::PartPlan &plan, const std::vector<cache::PromptPart> &parts, std::string_view salt)
{
    std::ostringstream text;
    for (std::size_t i = 0; i < plan.dispositions.size(); ++i) {
        text << (i == 0 ? "" : ",") << std::hex << cache::partHash(salt, parts[i].id) << std::dec;
        text << ':' << parts[i].tokens << ':' << toString(plan.dispositions[i]) << (plan.saveTo[i].empty() ? "" : "+save");
    }
    return text.str();
}

} // namespace burdock::gateway
