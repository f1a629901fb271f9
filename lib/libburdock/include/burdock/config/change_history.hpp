#pragma once

#include <burdock/config/acceptance.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace burdock::config {

/** @brief A whole bundle as sent between processes. */
struct BundleStep
{
    u64 version = 0;
    std::string id; ///< referenced by ChangeStep::previous of the next change
    std::string bytes; ///< as signed
};

/** @brief A change as sent between processes. */
struct ChangeStep
{
    u64 version = 0; ///< version after the change
    std::string id; ///< digest of `bytes`
    std::string previous; ///< id of the step that the change builds on
    std::string bytes; ///< as signed
};

/** @brief A whole bundle with the changes that follow it, or changes alone. */
struct Steps
{
    std::optional<BundleStep> bundle;
    std::vector<ChangeStep> changes;

    /** @brief Returns the version after the last step; 0 if there are no steps. */
    [[nodiscard]] u64 version() const;
};

/** @brief Result of evaluating offered steps. */
struct StepsEvaluation
{
    OfferResult offer = OfferResult::AlreadyApplied;
    bool isReplacement = false; ///< if accepted: replace the history by the whole bundle and its changes
    std::size_t firstChange = 0; ///< if accepted: index of the first change to apply; earlier ones are skipped
};

/**
 * @brief History of the steps that produced the current configuration of a process. Not thread-safe.
 *
 * It is used to evaluate further steps and to send steps to other processes.
 * Prevents merging two diverging histories: if the platform is restored from an older copy and operators continue from there, a merge
 * would produce a configuration that nobody ever accepted. Each change names the step that it builds on. A change that builds on a
 * step which is not in this history is not applied; instead, the whole bundle and its changes replace the history.
 */
class ChangeHistory
{
public:
    [[nodiscard]] u64 version() const;
    [[nodiscard]] std::string id() const;

    [[nodiscard]] StepsEvaluation evaluate(const Steps &steps) const;

    /** @brief Applies steps according to their evaluation, which must be Accept. */
    void take(const Steps &steps, const StepsEvaluation &evaluation);

    /**
     * @brief Returns the steps that bring another process to the version of this history.
     * @param version current version of the other process
     * @param id      id of that version; empty if it is not known
     */
    [[nodiscard]] Steps since(u64 version, const std::string &id) const;

    /** @brief Returns the number of changes since the whole bundle. */
    [[nodiscard]] std::size_t changeCount() const;

    /** @brief Replaces the whole bundle by a later one and drops the changes that it contains; false if it is not part of this history. */
    bool rebase(const BundleStep &bundle);

private:
    [[nodiscard]] static bool isChain(const Steps &steps);
    [[nodiscard]] const std::string *idAt(u64 version) const;

    std::optional<BundleStep> m_bundle;
    std::deque<ChangeStep> m_changes;
};

} // namespace burdock::config
