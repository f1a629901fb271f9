#include "reading_exchange.hpp"

#include <burdock/runtime/sleep.hpp>

#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <utility>

namespace burdock::gateway {

namespace {

namespace asio = boost::asio;
using runtime::LogLevel;

constexpr auto Awaitable = asio::as_tuple(asio::use_awaitable);
/** How long a reader's watch waits, by kind: short enough that its end, two losses of a question and a read stay within the kind's bound.
 */
constexpr std::array<Duration, static_cast<std::size_t>(ObjectKind::Weights) + 1> ReaderWaits{
    std::chrono::milliseconds(800), std::chrono::milliseconds(800), std::chrono::milliseconds(1600), std::chrono::milliseconds(1500)};
/** Larger changes are only announced, as each entry would have to be sent all of them. */
constexpr std::size_t MaxToldBytes = 8 * 1024;
/** Longer ages are treated as this one. */
constexpr u64 MaxAgeUs = 3'600'000'000;

Duration readerWait(std::size_t kind)
{
    return ReaderWaits.at(kind);
}

ObjectChanges readChanges(const schema::ObjectChangeSet &message)
{
    ObjectChanges changes;
    changes.revision = message.revision();
    changes.removed.assign(message.removed().begin(), message.removed().end());
    for (const auto &object : message.changed()) {
        boost::system::error_code error;
        auto spec = boost::json::parse(object.spec(), error);
        if (error) {
            return {};
        }
        auto &changed = changes.changed.emplace_back();
        changed.name = object.name();
        changed.revision = object.revision();
        changed.spec = std::move(spec);
    }
    changes.status = StoreResult::Found;
    return changes;
}

} // namespace

ReadingExchange::ReadingExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, const GatewayState &state,
                                 PeerSocket &socket)
    : m_dependencies(dependencies)
    , m_settings(settings)
    , m_state(state)
    , m_socket(socket)
    , m_startedAt(dependencies.clock.now())
    , m_present(settings.name)
    , m_duty(m_policy, settings.name)
{
}

bool ReadingExchange::isShared(ObjectKind kind) const
{
    return m_duty.isShared() && static_cast<std::size_t>(kind) < SharedKindCount;
}

ReadingExchange::Kind &ReadingExchange::at(ObjectKind kind)
{
    return m_kinds.at(static_cast<std::size_t>(kind));
}

const ReadingExchange::Kind &ReadingExchange::at(ObjectKind kind) const
{
    return m_kinds.at(static_cast<std::size_t>(kind));
}

void ReadingExchange::follow(ObjectKind kind, Listener listener)
{
    at(kind).listener = std::move(listener);
    at(kind).turn.emplace(m_dependencies.context);
}

void ReadingExchange::setEntries(const std::vector<std::string> &names, Duration reportPeriod)
{
    if (!m_settings.isReadingShared) {
        return;
    }
    m_listedCount = names.size();
    m_present.setListed(names, reportPeriod, m_dependencies.clock.now());
    updateDuty();
}

void ReadingExchange::noteHeard(std::string_view entry)
{
    m_present.noteHeard(entry, m_dependencies.clock.now());
}

void ReadingExchange::updateDuty()
{
    if (const auto present = m_present.changed(m_dependencies.clock.now())) {
        m_duty.setEntries(*present, m_listedCount);
        // What is known may be as old as the last answer of a reader that is gone, and must not wait for the end of a long poll.
        for (auto &kind : m_kinds) {
            kind.mustReadAtOnce = true;
        }
        logRole();
        wakeDueReaders();
    }
}

void ReadingExchange::logRole()
{
    const Role role{m_duty.isShared(), m_duty.isReader()};
    if (m_loggedRole == role) {
        return;
    }
    m_loggedRole = role;
    m_dependencies.metrics.set("burdock_store_reader", m_duty.isReader() ? 1 : 0);
    m_dependencies.logger.event(
        LogLevel::Info, "store_reader",
        {{"reads_for_others", m_duty.isReader()}, {"is_shared", m_duty.isShared()}, {"readers", u64{m_duty.readerCount()}}});
}

const reading::FollowedKind &ReadingExchange::known(ObjectKind kind) const
{
    return at(kind).known;
}

Duration ReadingExchange::watchTime(ObjectKind kind, Duration ownWait)
{
    if (std::exchange(at(kind).mustReadAtOnce, false)) {
        return Duration::zero();
    }
    if (!isShared(kind)) {
        return ownWait;
    }
    return m_duty.isReader() ? readerWait(static_cast<std::size_t>(kind)) : Duration::zero();
}

asio::awaitable<void> ReadingExchange::waitForTurn(ObjectKind kind)
{
    if (!isShared(kind)) {
        co_return;
    }
    auto &followed = at(kind);
    while (true) {
        const auto now = m_dependencies.clock.now();
        const auto due = m_duty.nextRead(followed.known, readerWait(static_cast<std::size_t>(kind)), now);
        if (due <= now) {
            break;
        }
        followed.turn->expires_after(due - now);
        co_await followed.turn->async_wait(Awaitable);
    }
    if (!m_duty.isReader()) {
        noteOwnRead(kind);
    }
}

void ReadingExchange::noteOwnRead(ObjectKind kind)
{
    const auto &known = at(kind).known;
    const auto now = m_dependencies.clock.now();
    m_dependencies.metrics.count("burdock_store_own_reads_total", {{"kind", std::string(toString(kind))}});
    m_dependencies.logger.event(
        LogLevel::Info, "store_read_alone",
        {{"kind", toString(kind)}, {"missed_change", known.isBehind()}, {"age_ms", toMilliseconds(now - known.asOf().value_or(now))}});
}

// The timers don't count the time in which this VM was suspended, so they are also checked here.
void ReadingExchange::wakeDueReaders()
{
    const auto now = m_dependencies.clock.now();
    for (std::size_t i = 0; i < SharedKindCount; ++i) {
        auto &kind = m_kinds.at(i);
        if (kind.turn && m_duty.nextRead(kind.known, readerWait(i), now) <= now) {
            kind.turn->cancel();
        }
    }
}

void ReadingExchange::noteListed(ObjectKind kind, u64 revision, TimePoint started)
{
    auto &known = at(kind).known;
    const bool isFirst = !known.asOf();
    known.noteListed(revision, started);
    if (!isFirst && isShared(kind) && m_duty.isReader()) {
        announce(kind, revision);
    }
}

bool ReadingExchange::noteRead(ObjectKind kind, u64 since, const ObjectChanges &changes, TimePoint started)
{
    auto &known = at(kind).known;
    const bool hasChanges = !changes.changed.empty() || !changes.removed.empty();
    // Another entry may have told of these changes, and of later ones, while this one read them.
    const bool isUntouched = known.revision() == since;
    // Nothing of this kind changed between these revisions, so the changes also continue what an entry knows that is that far back.
    const u64 tellSince = std::min(since, known.unchangedSince());
    bool isNew = false;
    if (hasChanges) {
        isNew = known.noteChanges(since, changes.revision) == reading::Continuity::New;
    } else {
        known.noteUnchanged(changes.revision);
    }
    known.noteComplete(started);
    if (isNew && isShared(kind) && m_duty.isReader()) {
        tellChanges(kind, tellSince, changes);
    }
    return hasChanges && (isNew || isUntouched);
}

void ReadingExchange::noteComplete(ObjectKind kind, TimePoint asOf)
{
    at(kind).known.noteComplete(asOf);
}

asio::awaitable<void> ReadingExchange::askOthers()
{
    while (m_settings.isReadingShared) {
        co_await runtime::sleepFor(m_policy.questionPeriod);
        updateDuty();
        wakeDueReaders();
        const auto now = m_dependencies.clock.now();
        const bool isOverdue = isAnyOverdue(now);
        if (!m_duty.isShared() || (m_duty.isReader() && !isOverdue)) {
            continue;
        }
        auto message = makeMessage();
        message.mutable_reading_question()->set_asked(static_cast<u64>(now.time_since_epoch().count()));
        const auto datagram = message.SerializeAsString();
        for (const auto &entry : m_duty.nextToAsk(isOverdue)) {
            m_socket.sendTo(entry, datagram);
        }
    }
}

bool ReadingExchange::isAnyOverdue(TimePoint now) const
{
    for (std::size_t i = 0; i < SharedKindCount; ++i) {
        if (m_duty.isOverdue(m_kinds.at(i).known, readerWait(i), now)) {
            return true;
        }
    }
    return false;
}

schema::EntryLoad ReadingExchange::makeMessage() const
{
    schema::EntryLoad message;
    message.set_entry(m_settings.name);
    // An entry that doesn't know these fields ignores the message as an outdated report of loads, as its sequence number is zero.
    message.set_boot_id(m_state.bootId);
    message.set_changes_only(true);
    return message;
}

void ReadingExchange::tellChanges(ObjectKind kind, u64 since, const ObjectChanges &changes)
{
    auto message = makeMessage();
    auto *out = message.mutable_object_changes();
    out->set_kind(static_cast<u32>(kind));
    out->set_since(since);
    out->set_revision(changes.revision);
    for (const auto &object : changes.changed) {
        auto *changed = out->add_changed();
        changed->set_name(object.name);
        changed->set_revision(object.revision);
        changed->set_spec(boost::json::serialize(object.spec));
    }
    for (const auto &name : changes.removed) {
        out->add_removed(name);
    }
    if (message.ByteSizeLong() > MaxToldBytes) {
        announce(kind, changes.revision);
        return;
    }
    m_socket.sendToAll(message.SerializeAsString());
}

void ReadingExchange::announce(ObjectKind kind, u64 revision)
{
    auto message = makeMessage();
    auto *out = message.mutable_object_changes();
    out->set_kind(static_cast<u32>(kind));
    out->set_revision(revision);
    out->set_is_announcement(true);
    m_socket.sendToAll(message.SerializeAsString());
}

bool ReadingExchange::isReadingMessage(const schema::EntryLoad &message)
{
    return message.has_reading_question() || message.has_reading_answer() || message.has_object_changes();
}

void ReadingExchange::handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender)
{
    if (!m_settings.isReadingShared) {
        return;
    }
    if (message.has_reading_question()) {
        answer(message.reading_question(), message.boot_id(), sender);
    }
    if (message.has_reading_answer()) {
        applyAnswer(message.reading_answer());
    }
    if (message.has_object_changes()) {
        applyChanges(message.object_changes());
    }
}

void ReadingExchange::answer(const schema::ReadingQuestion &question, u64 askerBootId, const PeerSocket::Endpoint &asker)
{
    auto message = makeMessage();
    auto *out = message.mutable_reading_answer();
    out->set_asker_boot_id(askerBootId);
    out->set_asked(question.asked());
    for (std::size_t i = 0; i < SharedKindCount; ++i) {
        const auto confirmation = m_kinds.at(i).known.confirmation(m_dependencies.clock.now());
        if (confirmation) {
            auto *kind = out->add_kinds();
            kind->set_kind(static_cast<u32>(i));
            kind->set_since(confirmation->since);
            kind->set_last_change(confirmation->lastChange);
            kind->set_revision(confirmation->revision);
            kind->set_age_us(static_cast<u64>(confirmation->age.count()));
        }
    }
    m_socket.sendTo(asker, message.SerializeAsString());
}

void ReadingExchange::applyAnswer(const schema::ReadingAnswer &answer)
{
    const TimePoint asked(Duration(static_cast<i64>(answer.asked())));
    const bool isOwnQuestion = answer.asker_boot_id() == m_state.bootId && asked >= m_startedAt && asked <= m_dependencies.clock.now();
    if (!isOwnQuestion) {
        return;
    }
    for (const auto &told : answer.kinds()) {
        if (told.kind() >= SharedKindCount) {
            continue;
        }
        auto &kind = m_kinds.at(told.kind());
        const Duration age(static_cast<i64>(std::min(told.age_us(), MaxAgeUs)));
        const auto asOf = kind.known.noteConfirmation({told.since(), told.last_change(), told.revision(), age}, asked);
        if (asOf && kind.listener.onConfirmed) {
            const std::string name(toString(static_cast<ObjectKind>(told.kind())));
            m_dependencies.metrics.count("burdock_store_confirmations_total", {{"kind", name}});
            kind.listener.onConfirmed(*asOf);
        }
    }
    wakeDueReaders();
}

void ReadingExchange::applyChanges(const schema::ObjectChangeSet &message)
{
    if (message.kind() >= SharedKindCount) {
        return;
    }
    auto &kind = m_kinds.at(message.kind());
    const auto changes = readChanges(message);
    if (message.is_announcement() || changes.status != StoreResult::Found) {
        kind.known.noteToldOf(message.revision());
    } else if (kind.known.noteChanges(message.since(), message.revision()) == reading::Continuity::New) {
        kind.listener.onChanges(changes);
    }
    wakeDueReaders();
}

} // namespace burdock::gateway
