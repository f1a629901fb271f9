#include <burdock/serving/config/config_holder.hpp>

#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>

namespace burdock::serving {

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

config::Offer ConfigHolder::offer(const std::string &signedBytes)
{
    schema::SignedBundle signedBundle;
    const bool isTrusted = signedBundle.ParseFromString(signedBytes) && schema::isTrusted(signedBundle, m_trustedSigners);
    const auto checked = isTrusted ? schema::parseBundle("bundle", signedBundle.document()) : schema::Checked<schema::Bundle>();
    if (!checked.document) {
        m_process.metrics.count("burdock_config_rejected_total");
        m_process.logger.event(runtime::LogLevel::Warning, "config_rejected", {{"reason", isTrusted ? "malformed" : "untrusted"}});
        return config::Offer::Untrusted;
    }
    std::shared_ptr<const Snapshot> taken;
    {
        const std::lock_guard lock(m_mutex);
        const u64 held = m_current ? m_current->version() : 0;
        const auto judged = config::judgeOffer(held, checked.document->version(), config::Trust::Trusted);
        if (judged != config::Offer::TakeOver) {
            return judged;
        }
        m_current = std::make_shared<const Snapshot>(*checked.document, signedBytes);
        taken = m_current;
    }
    m_process.metrics.set("burdock_config_version", static_cast<double>(taken->version()));
    m_process.logger.event(runtime::LogLevel::Info, "config_in_force", {{"version", taken->version()}});
    for (const auto &listener : m_listeners) {
        listener(*taken);
    }
    return config::Offer::TakeOver;
}

void ConfigHolder::addListener(Listener listener)
{
    m_listeners.push_back(std::move(listener));
}

} // namespace burdock::serving
