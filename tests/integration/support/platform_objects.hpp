#pragma once

#include <burdock/types.hpp>

#include <boost/json/value.hpp>
#include <string>
#include <vector>

namespace support {

using namespace burdock;

/** @brief Data that a replica registers in the platform's object store. */
struct ReplicaRegistration
{
    std::string service; ///< `plain` or `engines`
    std::string address;
    std::string zone = "zone-a";
    std::string softwareVersion = "v1";
    bool isDraining = false;
    u64 weights = 1; ///< weight version of the model `m`
    u64 startTimeMs = 1;
};

/** @brief Configuration of the tests: the customer `desk` with these API keys, and one route for each kind of call. */
[[nodiscard]] boost::json::value configurationObject(u64 version, const std::vector<std::string> &keys);

[[nodiscard]] boost::json::value replicaObject(const ReplicaRegistration &registration);

} // namespace support
