#pragma once

#include <burdock/clients/object_store.hpp>
#include <burdock/config/change_history.hpp>
#include <burdock/serving/config/config_steps.hpp>

#include <string>

namespace burdock::serving {

/** @brief Id of the object whose conditional update makes a configuration the accepted one. */
[[nodiscard]] clients::ObjectId currentConfigId();

/** @brief Id of the immutable object that holds a whole bundle or lists the digests of its parts. */
[[nodiscard]] clients::ObjectId bundleId(const std::string &digest);

/** @brief Id of the immutable object that holds one part of a bundle. */
[[nodiscard]] clients::ObjectId bundlePartId(const std::string &digest);

/** @brief Id of the immutable object that holds a segment of changes; derived from the step id of the last one. */
[[nodiscard]] clients::ObjectId changeSegmentId(const std::string &lastStepId);

/** @brief Result of reading steps. No std::optional, see docs/DESIGN.md on coroutines. */
struct StepsReadResult
{
    bool isRead = false; ///< false if the platform could not be read or an object is malformed
    config::Steps steps;
};

/** @brief Result of reading a whole bundle. */
struct BundleReadResult
{
    bool isRead = false;
    config::BundleStep bundle;
};

/** @brief Reads accepted configuration from the platform. */
class ConfigReader
{
public:
    explicit ConfigReader(clients::ObjectStore &store);

    /**
     * @brief Reads the steps from a held version to the accepted one; reads the whole bundle only if changes alone don't suffice.
     * @param heldVersion version that the process holds, 0 if none
     * @param heldId      step id of the held version
     */
    [[nodiscard]] boost::asio::awaitable<StepsReadResult> readSteps(const schema::CurrentConfig &current, u64 heldVersion,
                                                                    std::string heldId);

    /** @brief Reads the whole bundle that the accepted changes build on. */
    [[nodiscard]] boost::asio::awaitable<BundleReadResult> readBundle(const schema::CurrentConfig &current);

private:
    /** @brief Reads changes backwards until the first one after the given version or after the whole bundle, whichever is later. */
    [[nodiscard]] boost::asio::awaitable<StepsReadResult> changesAfter(const schema::CurrentConfig &current, u64 version);

    clients::ObjectStore &m_store;
};

} // namespace burdock::serving
