#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/config/change_history.hpp>
#include <burdock/serving/config/config_steps.hpp>

#include <string>

namespace burdock::serving {

/** @brief Id of the object whose conditional update accepts a configuration. */
[[nodiscard]] clients::ObjectId currentConfigId();

/** @brief Id of the immutable object that holds a whole bundle, or names its parts. */
[[nodiscard]] clients::ObjectId bundleId(const std::string &digest);
[[nodiscard]] clients::ObjectId bundlePartId(const std::string &digest);

/** @brief Id of the immutable object that holds changes, named by the step id of the last of them. */
[[nodiscard]] clients::ObjectId changeSegmentId(const std::string &lastStepId);

/** @brief What was read of the accepted configuration; not optional values, see docs/DESIGN.md on coroutines. */
struct ReadSteps
{
    bool isRead = false; ///< false if the platform could not be read or an object is malformed
    config::Steps steps;
};

struct ReadWhole
{
    bool isRead = false;
    config::BundleStep whole;
};

/** @brief Reads accepted configuration from the platform. */
class ConfigReader
{
public:
    explicit ConfigReader(clients::ObjectStore &store);

    /**
     * @brief What leads from a held version to the accepted one; with the whole bundle only if that is needed.
     * @param heldId step id of the held version
     */
    [[nodiscard]] boost::asio::awaitable<ReadSteps> steps(const schema::CurrentConfig &current, u64 heldVersion, std::string heldId);

    /** @brief The whole bundle that accepted changes build on. */
    [[nodiscard]] boost::asio::awaitable<ReadWhole> whole(const schema::CurrentConfig &current);

private:
    /** @brief Changes down to the first that follows a version, or the whole bundle. */
    [[nodiscard]] boost::asio::awaitable<ReadSteps> changesAfter(const schema::CurrentConfig &current, u64 version);

    clients::ObjectStore &m_store;
};

} // namespace burdock::serving
