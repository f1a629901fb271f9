#include "lease_keeper.hpp"

#include <burdock/clients/json_fields.hpp>
#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <boost/json.hpp>

namespace burdock::gateway {

namespace {

using runtime::LogLevel;

/** How often processes other than the leader read the lease while there is something to decide or to order. */
constexpr Duration LeaseReadPeriod = std::chrono::milliseconds(400);

boost::json::array toJson(const weights::AnnouncementHistory &history)
{
    boost::json::array items;
    for (const auto &announcement : history) {
        boost::json::object item{{"version", announcement.version}};
        if (announcement.notBefore) {
            item["unix_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(*announcement.notBefore).count();
        }
        items.push_back(std::move(item));
    }
    return items;
}

weights::AnnouncementHistory parseHistory(const boost::json::array &items)
{
    weights::AnnouncementHistory history;
    for (const auto &value : items) {
        if (const auto *item = value.if_object()) {
            const u64 unixMs = clients::numberOf(*item, "unix_ms");
            const auto notBefore = unixMs > 0 ? std::optional<Duration>(std::chrono::milliseconds(unixMs)) : std::nullopt;
            history.push_back({clients::numberOf(*item, "version"), notBefore});
        }
    }
    return history;
}

boost::json::value toJson(const weights::LeaseRecord &record)
{
    boost::json::object announced;
    for (const auto &[model, announcements] : record.announced) {
        announced[model] = toJson(announcements);
    }
    boost::json::array subjects(record.subjects.begin(), record.subjects.end());
    boost::json::array inherited(record.inherited.begin(), record.inherited.end());
    return {{"vm", record.vm},
            {"boot", record.bootId},
            {"token", record.token},
            {"beat", record.renewals},
            {"subjects", std::move(subjects)},
            {"inherited", std::move(inherited)},
            {"named", std::move(announced)}};
}

std::set<std::string> parseNames(const boost::json::array &items)
{
    std::set<std::string> names;
    for (const auto &item : items) {
        if (const auto *text = item.if_string()) {
            names.emplace(*text);
        }
    }
    return names;
}

std::optional<weights::LeaseRecord> parseLease(const boost::json::value &spec)
{
    const auto *object = spec.if_object();
    if (object == nullptr || clients::textOf(*object, "vm").empty()) {
        return std::nullopt;
    }
    weights::LeaseRecord record{clients::textOf(*object, "vm"),
                                clients::numberOf(*object, "boot"),
                                clients::numberOf(*object, "token"),
                                clients::numberOf(*object, "beat"),
                                parseNames(clients::arrayOf(*object, "subjects")),
                                parseNames(clients::arrayOf(*object, "inherited")),
                                {}};
    for (const auto &[model, value] : clients::objectOf(*object, "named")) {
        if (const auto *announcements = value.if_array()) {
            record.announced[std::string(model)] = parseHistory(*announcements);
        }
    }
    return record;
}

} // namespace

LeaseKeeper::LeaseKeeper(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                         std::string_view name)
    : m_dependencies(dependencies)
    , m_state(state)
    , m_name(name)
    , m_vmName(settings.name)
    , m_lease(settings.name, dependencies.random.word() >> 1, settings.minOrderInterval)
{
}

weights::LeaderLease &LeaseKeeper::lease()
{
    return m_lease;
}

boost::asio::awaitable<void> LeaseKeeper::maintain(const std::vector<std::string> &subjects)
{
    const auto now = m_dependencies.clock.now();
    // Entries that come first by hash read more often, so that the number of calls doesn't grow with the number of entries.
    if (!m_lease.mayAct(now) && now - m_lastReadAt >= LeaseReadPeriod * (1 + rank())) {
        co_await read();
    }
    const auto write = m_lease.nextWrite(subjects, m_dependencies.clock.now());
    if (write) {
        co_await this->write(*write);
    }
}

int LeaseKeeper::rank() const
{
    const auto score = [](const std::string &entry) {
        return hash::hash64(entry);
    };
    return static_cast<int>(std::count_if(m_state.entryNames.begin(), m_state.entryNames.end(),
                                          [&](const std::string &entry) { return score(entry) > score(m_vmName); }));
}

boost::asio::awaitable<void> LeaseKeeper::read()
{
    m_lastReadAt = m_dependencies.clock.now();
    const auto list = co_await m_dependencies.store.list(ObjectKind::Duties, Freshness::Current);
    if (list.status != StoreResult::Found) {
        co_return;
    }
    std::optional<weights::LeaseRecord> record;
    u64 revision = 0;
    for (const auto &item : list.items) {
        if (item.name == m_name) {
            record = parseLease(item.spec);
            revision = item.revision;
        }
    }
    m_lease.observe(record, revision, m_dependencies.clock.now());
}

boost::asio::awaitable<void> LeaseKeeper::write(const weights::LeaderLease::Write &write)
{
    const auto started = m_dependencies.clock.now();
    const auto spec = toJson(write.record);
    const auto result = co_await m_dependencies.store.write(ObjectKind::Duties, m_name, spec, write.revision);
    const auto now = m_dependencies.clock.now();
    if (result.status == StoreResult::Written) {
        m_lease.noteWritten(write.record, result.revision, started, now);
    } else if (result.present) {
        m_lease.observe(parseLease(result.present->spec), result.present->revision, now);
    }
}

bool LeaseKeeper::noteLeadership()
{
    const bool isLeader = m_lease.mayAct(m_dependencies.clock.now());
    if (isLeader != m_isLeader) {
        m_isLeader = isLeader;
        m_dependencies.logger.event(LogLevel::Info, isLeader ? "duty_gained" : "duty_lost", {{"duty", m_name}, {"token", m_lease.token()}});
    }
    return isLeader;
}

} // namespace burdock::gateway
