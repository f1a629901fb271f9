#pragma once

#include <burdock/types.hpp>

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdock::reading {

/**
 * @brief Tells which of the listed entries are there. An entry whose VM is lost stays listed, but must not be relied on.
 *
 * Not thread-safe.
 */
class PresentEntries
{
public:
    /** @param own name of this entry, which is always there */
    explicit PresentEntries(std::string own);

    /** @param reportPeriod how often entries are heard at least, unless a message is lost */
    void setListed(const std::vector<std::string> &names, Duration reportPeriod, TimePoint now);

    /** @brief Notes a message of an entry; one that isn't listed is ignored. */
    void noteHeard(std::string_view name, TimePoint now);

    /** @brief The names of the entries that are there, if they are others than at the last call. */
    [[nodiscard]] std::optional<std::vector<std::string>> changed(TimePoint now);

private:
    std::string m_own;
    std::map<std::string, TimePoint, std::less<>> m_lastHeard; ///< of each listed entry; when it was listed, if not heard since
    Duration m_maxSilence{};
    std::optional<std::vector<std::string>> m_last; ///< as returned by the last call of changed()
};

} // namespace burdock::reading
