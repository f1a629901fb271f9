#pragma once

#include <burdock/types.hpp>

#include <optional>
#include <set>

namespace burdock::run {

/** @brief A set of software versions of one service, as hashes of service and version. */
using SoftwareSet = std::set<u64>;

/**
 * @brief With which software streams of one service may have begun, as recorded where it outlasts all entries. Not thread-safe.
 *
 * A version is recorded before a stream begins with it, and removed once no endpoint has had it for as long as a stream can be old.
 */
class SoftwareRecord
{
public:
    /** @param revision of the stored record; zero if there is none */
    void noteStored(SoftwareSet software, u64 revision, TimePoint now);

    [[nodiscard]] const SoftwareSet &software() const;
    [[nodiscard]] u64 revision() const;

    /**
     * @brief What has to be stored next; nothing if the record is as it should be.
     * @param registered software of the endpoints that are registered now
     * @param recent     software that endpoints had in the retention time; nothing if this entry doesn't know them for so long
     */
    [[nodiscard]] std::optional<SoftwareSet> next(const SoftwareSet &registered, const std::optional<SoftwareSet> &recent,
                                                  Duration retention, TimePoint now) const;

private:
    SoftwareSet m_software;
    u64 m_revision = 0;
    TimePoint m_knownSince{}; ///< when this entry learnt of the revision
};

} // namespace burdock::run
