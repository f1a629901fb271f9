#include "back_end.hpp"

#include <burdock/clients/json_fields.hpp>

#include <support/users_objects.hpp>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <thread>

namespace soak {

namespace {

using standins::ConnectionAction;

constexpr auto PlainWork = std::chrono::milliseconds(8);
constexpr auto PromptWork = std::chrono::milliseconds(15);
constexpr auto EventPause = std::chrono::milliseconds(5);
constexpr int SlowFactor = 12;
constexpr u16 Ok = 200;
constexpr u16 Accepted = 202;
constexpr u16 Conflict = 409;
constexpr u16 WrongEndpoint = 421;
constexpr u16 ServerError = 500;
constexpr u16 Unavailable = 503;
constexpr const char *PoisonTarget = "/read/poison";
constexpr const char *NotRun = "X-Not-Executed: 1\r\n";

} // namespace

BackEnd::BackEnd(boost::asio::io_context &workers, standins::ObjectStore &store, Ledger &ledger, std::string id, std::string service,
                 std::string zone)
    : m_store(store)
    , m_ledger(ledger)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_replica(std::make_unique<standins::Replica>([this](const auto &request, auto &connection) { return serve(request, connection); }))
    , m_proxy(std::make_unique<standins::FaultProxy>(workers, m_replica->address()))
{
    m_ledger.noteZone(m_id, m_zone);
}

const std::string &BackEnd::id() const
{
    return m_id;
}

standins::FaultProxy &BackEnd::proxy()
{
    return *m_proxy;
}

void BackEnd::setMode(EndpointMode mode)
{
    m_mode = mode;
}

void BackEnd::setPace(const EnginePace &pace)
{
    const std::lock_guard lock(m_mutex);
    m_pace = pace;
}

void BackEnd::announce()
{
    support::ReplicaEntry entry;
    entry.service = m_service;
    entry.address = m_proxy->address();
    entry.zone = m_zone;
    entry.isDraining = m_isDraining;
    entry.weights = weights();
    m_store.put("servers", m_id, support::replicaObject(entry));
}

void BackEnd::announceDraining()
{
    m_isDraining = true;
    announce();
    m_ledger.noteDraining(m_id, now());
}

void BackEnd::removeEntry()
{
    m_store.erase("servers", m_id);
}

bool BackEnd::isEngine() const
{
    return m_service == "engines";
}

bool BackEnd::isDraining() const
{
    return m_isDraining;
}

u64 BackEnd::weights() const
{
    auto &self = const_cast<BackEnd &>(*this);
    const std::lock_guard lock(self.m_mutex);
    self.loadWhenDue();
    return m_weights;
}

ConnectionAction BackEnd::serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    if (request.target == "/report") {
        connection.write(standins::completeResponse(request, Ok, report()));
        return ConnectionAction::Keep;
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        connection.write(standins::completeResponse(request, WrongEndpoint, "", NotRun));
        return ConnectionAction::Keep;
    }
    return request.target == "/order" ? takeOrder(request, connection) : run(request, connection);
}

ConnectionAction BackEnd::run(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    const auto received = now();
    const auto attempt = request.header("X-Attempt-Id");
    if (waitsUntilCut(attempt, connection)) {
        return ConnectionAction::Close;
    }
    const auto mode = m_mode.load();
    const u64 held = weights();
    const auto wanted = request.header("X-Expect-Version");
    const bool isLoading = isEngine() && [this] {
        const std::lock_guard lock(m_mutex);
        return m_ordered > 0;
    }();
    if (mode == EndpointMode::Declining || isLoading) {
        connection.write(standins::completeResponse(request, Unavailable, "", NotRun));
        return ConnectionAction::Keep;
    }
    if (!wanted.empty() && wanted != std::to_string(held)) {
        connection.write(standins::completeResponse(request, WrongEndpoint, "", NotRun));
        return ConnectionAction::Keep;
    }
    if (request.target == PoisonTarget) {
        m_ledger.notePoisonRun(m_id, now());
        return ConnectionAction::Close;
    }
    m_ledger.noteBegun({attempt, m_id, request.header("X-Tenant-Id"), held, received, now()});
    const int factor = mode == EndpointMode::Slow ? SlowFactor : 1;
    std::this_thread::sleep_for((isEngine() ? PromptWork : PlainWork) * factor);
    if (mode == EndpointMode::Failing) {
        connection.write(standins::completeResponse(request, ServerError, "failed"));
        return ConnectionAction::Keep;
    }
    if (!isEngine()) {
        const auto answer = standins::completeResponse(request, Ok, "done " + attempt);
        connection.write(mode == EndpointMode::BreakingOff ? answer.substr(0, answer.size() / 2) : answer);
        return mode == EndpointMode::BreakingOff ? ConnectionAction::Close : ConnectionAction::Keep;
    }
    connection.write(standins::streamHead(request));
    for (u32 event = 1; event <= EventsOfPrompt; ++event) {
        if (mode == EndpointMode::BreakingOff && event > EventsOfPrompt / 2) {
            return ConnectionAction::Close;
        }
        connection.write(standins::eventChunk(event, attempt));
        std::this_thread::sleep_for(EventPause * factor);
    }
    connection.write(standins::StreamEnd);
    return ConnectionAction::Keep;
}

ConnectionAction BackEnd::takeOrder(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    const auto body = boost::json::parse(request.body).as_object();
    m_ledger.noteOrder({m_id, clients::textOf(body, "holder"), clients::numberOf(body, "fencingToken"), now()});
    const u64 version = clients::numberOf(body, "version");
    u16 status = Accepted;
    std::this_thread::sleep_for(pace().orderDelay);
    {
        const std::lock_guard lock(m_mutex);
        loadWhenDue();
        if (m_weights >= version) {
            status = Ok;
        } else if (now() < m_pace.refusesUntil || m_ordered > 0 || clients::numberOf(body, "expected") != m_ordersTaken) {
            status = Conflict;
        } else {
            m_ordered = version;
            ++m_ordersTaken;
            m_loadedAt = now() + m_pace.loadTime;
        }
    }
    connection.write(standins::completeResponse(request, status, ""));
    return ConnectionAction::Keep;
}

// An engine drops a prompt that it has not begun when the connection closes.
bool BackEnd::waitsUntilCut(const std::string &attempt, const standins::ReplicaConnection &connection)
{
    const auto longest = static_cast<u64>(pace().longestWait.count());
    return longest > 0 && connection.waitForClose(Duration(static_cast<i64>(std::hash<std::string>()(attempt) % longest)));
}

EnginePace BackEnd::pace()
{
    const std::lock_guard lock(m_mutex);
    return m_pace;
}

// Called with the lock held.
void BackEnd::loadWhenDue()
{
    if (m_ordered > 0 && now() >= m_loadedAt) {
        m_weights = m_ordered;
        m_ordered = 0;
    }
}

std::string BackEnd::report()
{
    const std::lock_guard lock(m_mutex);
    loadWhenDue();
    return fmt::format(R"({{"busy":{},"seq":{},"running":0,"models":[{{"name":"m","version":{}}}]}})", m_ordered > 0, m_ordersTaken,
                       m_weights);
}

} // namespace soak
