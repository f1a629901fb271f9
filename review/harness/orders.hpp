#pragma once

#include "deployment.hpp"

namespace review {

/** Bound leaseMs of the deployments. */
constexpr Milliseconds LeaseTime(3000);

/** @brief Returns the holder in a write to the record of the lease for weight orders; empty for any other write. */
[[nodiscard]] std::string leaseHolderOf(const StoreWrite &write);

/** @brief Describes two successive orders of different holders to one replica within the lease time; empty if there are none. */
[[nodiscard]] std::string findTurn(Deployment &deployment);

} // namespace review
