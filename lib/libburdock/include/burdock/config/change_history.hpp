#pragma once

#include <burdock/config/acceptance.hpp>

#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace burdock::config {

/** @brief A whole bundle as one process hands it to another. */
struct BundleStep
{
    u64 version = 0;
    std::string id; ///< what the change after it calls it
    std::string bytes; ///< as signed
};

/** @brief One change as one process hands it to another. */
struct ChangeStep
{
    u64 version = 0; ///< that it makes
    std::string id; ///< digest of the bytes
    std::string previous; ///< id of the step that it builds on
    std::string bytes; ///< as signed
};

/** @brief A whole bundle and the changes since, or changes alone. */
struct Steps
{
    std::optional<BundleStep> whole;
    std::vector<ChangeStep> changes;

    /** @brief The version that they lead to; 0 if there are none. */
    [[nodiscard]] u64 version() const;
};

/** @brief What a process does with steps that it is offered. */
struct StepsEvaluation
{
    OfferResult offer = OfferResult::AlreadyApplied;
    bool isReplacement = false; ///< for Accept: begin again from the whole bundle
    std::size_t firstChange = 0; ///< for Accept: changes before it are passed over
};

/**
 * @brief The steps that made the configuration which a process holds, for judging further ones and for handing them on.
 *
 * Guards against two histories that are merged: it shows after the platform came back from an older copy and operators went on
 * from there, as a configuration that nobody ever accepted. Each change names the step that it builds on, so one that builds on
 * a step which this process does not hold is not applied; the whole bundle and its changes replace what is held. Not thread-safe.
 */
class ChangeHistory
{
public:
    [[nodiscard]] u64 version() const;
    [[nodiscard]] std::string id() const;

    [[nodiscard]] StepsEvaluation evaluate(const Steps &steps) const;

    /** @brief Takes over steps as they were judged; only with Accept. */
    void take(const Steps &steps, const StepsEvaluation &judgement);

    /**
     * @brief What brings another process to the version held here.
     * @param id of the version that it holds; empty if that is not known
     */
    [[nodiscard]] Steps since(u64 version, const std::string &id) const;

    /** @brief Changes kept since the whole bundle. */
    [[nodiscard]] std::size_t changeCount() const;

    /** @brief Puts a later whole bundle under the changes, if it is the same state; false if it is none of this history. */
    bool rebase(const BundleStep &whole);

private:
    [[nodiscard]] static bool isChain(const Steps &steps);
    [[nodiscard]] const std::string *idAt(u64 version) const;

    std::optional<BundleStep> m_whole;
    std::deque<ChangeStep> m_changes;
};

} // namespace burdock::config
