#include <burdock/config/change_history.hpp>

namespace burdock::config {

u64 Steps::version() const
{
    if (!changes.empty()) {
        return changes.back().version;
    }
    return bundle ? bundle->version : 0;
}

u64 ChangeHistory::version() const
{
    if (!m_changes.empty()) {
        return m_changes.back().version;
    }
    return m_bundle ? m_bundle->version : 0;
}

std::string ChangeHistory::id() const
{
    const auto *id = idAt(version());
    return id == nullptr ? std::string() : *id;
}

StepsEvaluation ChangeHistory::evaluate(const Steps &steps) const
{
    const auto offer = evaluateOffer(version(), steps.version(), Trust::Trusted);
    if (offer != OfferResult::Accept) {
        return {offer};
    }
    if (!isChain(steps)) {
        return {OfferResult::Gap};
    }
    for (std::size_t i = 0; i < steps.changes.size(); ++i) {
        const auto &change = steps.changes[i];
        if (m_bundle && change.version == version() + 1 && change.previous == id()) {
            return {OfferResult::Accept, false, i};
        }
    }
    return steps.bundle ? StepsEvaluation{OfferResult::Accept, true, 0} : StepsEvaluation{OfferResult::Gap};
}

void ChangeHistory::take(const Steps &steps, const StepsEvaluation &evaluation)
{
    if (evaluation.isReplacement) {
        m_bundle = steps.bundle;
        m_changes.clear();
    }
    m_changes.insert(m_changes.end(), steps.changes.begin() + static_cast<std::ptrdiff_t>(evaluation.firstChange), steps.changes.end());
}

Steps ChangeHistory::since(u64 version, const std::string &id) const
{
    Steps steps;
    const auto *localId = idAt(version);
    const bool isKnown = localId != nullptr && (id.empty() || *localId == id);
    if (!isKnown) {
        steps.bundle = m_bundle;
        steps.changes.assign(m_changes.begin(), m_changes.end());
        return steps;
    }
    const auto first = m_changes.begin() + static_cast<std::ptrdiff_t>(version - m_bundle->version);
    steps.changes.assign(first, m_changes.end());
    return steps;
}

std::size_t ChangeHistory::changeCount() const
{
    return m_changes.size();
}

bool ChangeHistory::rebase(const BundleStep &bundle)
{
    const auto *localId = idAt(bundle.version);
    if (localId == nullptr || *localId != bundle.id) {
        return false;
    }
    const auto containedChanges = static_cast<std::ptrdiff_t>(bundle.version - m_bundle->version);
    m_changes.erase(m_changes.begin(), m_changes.begin() + containedChanges);
    m_bundle = bundle;
    return true;
}

bool ChangeHistory::isChain(const Steps &steps)
{
    u64 version = steps.bundle ? steps.bundle->version : 0;
    const std::string *id = steps.bundle ? &steps.bundle->id : nullptr;
    for (const auto &change : steps.changes) {
        if (id != nullptr && (change.version != version + 1 || change.previous != *id)) {
            return false;
        }
        version = change.version;
        id = &change.id;
    }
    return true;
}

const std::string *ChangeHistory::idAt(u64 version) const
{
    if (!m_bundle || version < m_bundle->version || version > this->version()) {
        return nullptr;
    }
    if (version == m_bundle->version) {
        return &m_bundle->id;
    }
    return &m_changes[version - m_bundle->version - 1].id;
}

} // namespace burdock::config
