#include <burdock/serving/config/config_holder.hpp>

#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/config_steps.hpp>

namespace burdock::serving {

namespace {

// Every response of a peer contains its version; while one request for that version is in flight, no further ones are needed.
constexpr Duration RepeatRequestDelay = std::chrono::milliseconds(500);

} // namespace

ConfigHolder::ConfigHolder(Process &process, std::vector<std::string> trustedSigners)
    : m_process(process)
    , m_trustedSigners(std::move(trustedSigners))
{
}

std::shared_ptr<const Snapshot> ConfigHolder::current() const
{
    const std::lock_guard lock(m_mutex);
    return m_current;
}

u64 ConfigHolder::version() const
{
    const auto snapshot = current();
    return snapshot ? snapshot->version() : 0;
}

ConfigIdentity ConfigHolder::identity() const
{
    const std::lock_guard lock(m_mutex);
    return {m_history.version(), m_history.id()};
}

config::OfferResult ConfigHolder::tryApply(const config::Steps &steps)
{
    const std::lock_guard applyLock(m_applyMutex);
    config::StepsEvaluation evaluation;
    {
        const std::lock_guard lock(m_mutex);
        evaluation = m_history.evaluate(steps);
    }
    if (evaluation.offer != config::OfferResult::Accept) {
        return evaluation.offer;
    }
    const auto snapshot = buildSnapshot(steps, evaluation);
    if (!snapshot) {
        return reject("untrusted or malformed");
    }
    {
        const std::lock_guard lock(m_mutex);
        m_history.take(steps, evaluation);
        m_current = snapshot;
    }
    m_process.metrics.set("burdock_config_version", static_cast<double>(snapshot->version()));
    m_process.logger.event(runtime::LogLevel::Info, "config_in_force", {{"version", snapshot->version()}});
    for (const auto &listener : m_listeners) {
        listener(*snapshot);
    }
    return config::OfferResult::Accept;
}

config::OfferResult ConfigHolder::tryApply(const schema::ConfigPush &push)
{
    const auto steps = toSteps(push.steps());
    return steps ? tryApply(*steps) : reject("malformed");
}

schema::ConfigRequest ConfigHolder::updateRequest() const
{
    const auto identity = this->identity();
    schema::ConfigRequest request;
    request.set_known_version(identity.version);
    request.set_known_id(identity.id);
    return request;
}

std::optional<schema::ConfigRequest> ConfigHolder::updateRequestFor(u64 version)
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_process.clock.now();
        const bool isRequestPending = version <= m_requestedVersion && now - m_requestedAt < RepeatRequestDelay;
        if (version <= m_history.version() || isRequestPending) {
            return std::nullopt;
        }
        m_requestedVersion = version;
        m_requestedAt = now;
    }
    return updateRequest();
}

schema::ConfigPush ConfigHolder::pushFor(const schema::ConfigRequest &request) const
{
    schema::ConfigPush push;
    const std::lock_guard lock(m_mutex);
    *push.mutable_steps() = toMessage(m_history.since(request.known_version(), request.known_id()));
    return push;
}

std::size_t ConfigHolder::changeCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_history.changeCount();
}

void ConfigHolder::rebase(const config::BundleStep &bundle)
{
    if (readWholeBundle(bundle)) {
        const std::lock_guard lock(m_mutex);
        static_cast<void>(m_history.rebase(bundle));
    }
}

void ConfigHolder::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

// Returns the configuration that the steps lead to, or null if one of them is malformed, inconsistent or not signed by a trusted signer.
std::shared_ptr<const Snapshot> ConfigHolder::buildSnapshot(const config::Steps &steps, const config::StepsEvaluation &evaluation) const
{
    auto snapshot = evaluation.isReplacement ? readWholeBundle(*steps.bundle) : current();
    for (std::size_t i = evaluation.firstChange; snapshot && i < steps.changes.size(); ++i) {
        schema::SignedChange signedChange;
        schema::Change change;
        const bool isTrusted = signedChange.ParseFromString(steps.changes[i].bytes)
            && schema::hasTrustedSignature(signedChange, m_trustedSigners) && change.ParseFromString(signedChange.document());
        snapshot = isTrusted ? std::make_shared<const Snapshot>(*snapshot, change) : nullptr;
    }
    return snapshot;
}

std::shared_ptr<const Snapshot> ConfigHolder::readWholeBundle(const config::BundleStep &bundle) const
{
    schema::SignedBundle signedBundle;
    if (!signedBundle.ParseFromString(bundle.bytes) || !schema::hasTrustedSignature(signedBundle, m_trustedSigners)) {
        return nullptr;
    }
    auto checked = schema::parseBundle("bundle", signedBundle.document());
    if (!checked.document || checked.document->version() != bundle.version) {
        return nullptr;
    }
    return std::make_shared<const Snapshot>(std::move(*checked.document));
}

config::OfferResult ConfigHolder::reject(std::string_view reason) const
{
    m_process.metrics.count("burdock_config_rejected_total");
    m_process.logger.event(runtime::LogLevel::Warning, "config_rejected", {{"reason", reason}});
    return config::OfferResult::Untrusted;
}

} // namespace burdock::serving
