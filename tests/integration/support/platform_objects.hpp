#pragma once

#include <burdock/types.hpp>

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace support {

using namespace burdock;

/** @brief A replica's entry in the users' store. */
struct ReplicaRegistration
{
    std::string service; ///< `plain` or `engines`
    std::string address;
    std::string zone = "zone-a";
    bool isDraining = false;
    u64 weights = 1; ///< of the model `m`
    u64 startTimeMs = 1;
};

/** @brief The configuration of the tests: the customer `desk` with these keys, and a route a kind of call. */
[[nodiscard]] boost::json::value configurationObject(u64 version, const std::vector<std::string> &keys);

[[nodiscard]] boost::json::value replicaObject(const ReplicaRegistration &entry);

} // namespace support
