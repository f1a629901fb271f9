#include "orders.hpp"

#include <boost/json.hpp>

namespace review {

std::string leaseHolderOf(const StoreWrite &write)
{
    if (write.kind != "burdock-duties" || write.name != "weights" || write.spec.empty()) {
        return {};
    }
    return std::string(boost::json::parse(write.spec).as_object().at("vm").as_string());
}

std::string findTurn(Deployment &deployment)
{
    for (std::size_t i = 0; i < deployment.modelCount(); ++i) {
        const auto orders = deployment.model(i).orders();
        for (std::size_t next = 1; next < orders.size(); ++next) {
            const auto &before = orders[next - 1];
            const auto &after = orders[next];
            const auto gap = std::chrono::duration_cast<Milliseconds>(after.at - before.at);
            if (before.holder != after.holder && gap < LeaseTime) {
                return deployment.model(i).id() + " got an order of " + after.holder + " (token " + std::to_string(after.token) + ") "
                    + std::to_string(gap.count()) + " ms after one of " + before.holder + " (token " + std::to_string(before.token) + ")";
            }
        }
    }
    return {};
}

} // namespace review
