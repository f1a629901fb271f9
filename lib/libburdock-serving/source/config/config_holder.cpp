#include <burdock/serving/config/config_holder.hpp>

#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/config_steps.hpp>

namespace burdock::serving {

namespace {

// Every answer tells the version; while one request for it is under way, the others need none.
constexpr Duration AskAgainAfter = std::chrono::milliseconds(500);

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

HeldConfig ConfigHolder::held() const
{
    const std::lock_guard lock(m_mutex);
    return {m_history.version(), m_history.id()};
}

config::OfferResult ConfigHolder::offer(const config::Steps &steps)
{
    const std::lock_guard offerLock(m_offerMutex);
    config::StepsEvaluation judgement;
    {
        const std::lock_guard lock(m_mutex);
        judgement = m_history.evaluate(steps);
    }
    if (judgement.offer != config::OfferResult::Accept) {
        return judgement.offer;
    }
    const auto taken = build(steps, judgement);
    if (!taken) {
        return reject("untrusted or malformed");
    }
    {
        const std::lock_guard lock(m_mutex);
        m_history.take(steps, judgement);
        m_current = taken;
    }
    m_process.metrics.set("burdock_config_version", static_cast<double>(taken->version()));
    m_process.logger.event(runtime::LogLevel::Info, "config_in_force", {{"version", taken->version()}});
    for (const auto &listener : m_listeners) {
        listener(*taken);
    }
    return config::OfferResult::Accept;
}

config::OfferResult ConfigHolder::offer(const schema::ConfigPush &push)
{
    const auto steps = toSteps(push.steps());
    return steps ? offer(*steps) : reject("malformed");
}

schema::ConfigRequest ConfigHolder::request() const
{
    const auto held = this->held();
    schema::ConfigRequest request;
    request.set_known_version(held.version);
    request.set_known_id(held.id);
    return request;
}

std::optional<schema::ConfigRequest> ConfigHolder::requestFor(u64 version)
{
    {
        const std::lock_guard lock(m_mutex);
        const TimePoint now = m_process.clock.now();
        const bool isAskedFor = version <= m_askedVersion && now - m_askedAt < AskAgainAfter;
        if (version <= m_history.version() || isAskedFor) {
            return std::nullopt;
        }
        m_askedVersion = version;
        m_askedAt = now;
    }
    return request();
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

void ConfigHolder::rebase(const config::BundleStep &whole)
{
    if (readWhole(whole)) {
        const std::lock_guard lock(m_mutex);
        static_cast<void>(m_history.rebase(whole));
    }
}

void ConfigHolder::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

// The configuration that judged steps lead to, or null if one of them is not to be believed.
std::shared_ptr<const Snapshot> ConfigHolder::build(const config::Steps &steps, const config::StepsEvaluation &judgement) const
{
    auto snapshot = judgement.isReplacement ? readWhole(*steps.whole) : current();
    for (std::size_t i = judgement.firstChange; snapshot && i < steps.changes.size(); ++i) {
        schema::SignedChange signedChange;
        schema::Change change;
        const bool isTrusted = signedChange.ParseFromString(steps.changes[i].bytes) && schema::isTrusted(signedChange, m_trustedSigners)
            && change.ParseFromString(signedChange.document());
        snapshot = isTrusted ? std::make_shared<const Snapshot>(*snapshot, change) : nullptr;
    }
    return snapshot;
}

std::shared_ptr<const Snapshot> ConfigHolder::readWhole(const config::BundleStep &whole) const
{
    schema::SignedBundle signedBundle;
    if (!signedBundle.ParseFromString(whole.bytes) || !schema::isTrusted(signedBundle, m_trustedSigners)) {
        return nullptr;
    }
    auto checked = schema::parseBundle("bundle", signedBundle.document());
    if (!checked.document || checked.document->version() != whole.version) {
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
