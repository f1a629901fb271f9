#pragma once

#include <burdock/types.hpp>

#include <map>
#include <string>
#include <string_view>

namespace burdock::weights {

/**
 * @brief Versions of weights that no endpoint serves any more, by what this entry sees and by what others have promised. Not thread-safe.
 *
 * An entry that has promised to use no parts of versions below a certain one keeps to it even if an endpoint with such a version returns.
 * Stores can then free these parts long before their age alone would allow it.
 */
class ServedVersions
{
public:
    using VersionsByModel = std::map<std::string, u64, std::less<>>;

    /** @brief Records the lowest version of a model among all endpoints that this entry knows; must not be called if there are none. */
    void noteLowestServed(std::string_view model, u64 version);

    /** @brief Records the promise of another entry, which this one keeps to as well. */
    void notePromise(std::string_view model, u64 version);

    /** @brief Whether stored parts of a version may be fetched, as far as it is served. */
    [[nodiscard]] bool mayFetch(std::string_view model, u64 version) const;

    /** @brief The lowest version of each model whose parts this entry may use, by what it sees itself; for the other entries. */
    [[nodiscard]] const VersionsByModel &promises() const;

private:
    VersionsByModel m_own;
    VersionsByModel m_told;
};

} // namespace burdock::weights
