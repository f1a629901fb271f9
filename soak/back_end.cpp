#include "back_end.hpp"

#include <burdock/clients/json_fields.hpp>

#include <support/platform_objects.hpp>

#include <boost/json.hpp>
#include <fmt/format.h>
#include <thread>

namespace soak {

namespace {

using standins::ConnectionAction;

constexpr auto PlainServiceTime = std::chrono::milliseconds(8);
constexpr auto PromptPrefillTime = std::chrono::milliseconds(15);
constexpr auto CrashDownTime = std::chrono::milliseconds(1500);
constexpr auto EventInterval = std::chrono::milliseconds(5);
constexpr int SlowFactor = 12;
constexpr std::size_t UnframedOneIn = 3;
constexpr u16 Ok = 200;
constexpr u16 Accepted = 202;
constexpr u16 Conflict = 409;
constexpr u16 MisdirectedRequest = 421;
constexpr u16 ServerError = 500;
constexpr u16 Unavailable = 503;
constexpr const char *PoisonPath = "/read/poison";
constexpr const char *ResumablePath = "/resumable/";
constexpr const char *NotExecutedHeader = "X-Not-Executed: 1\r\n";

} // namespace

BackEnd::BackEnd(boost::asio::io_context &workers, standins::ObjectStore &store, GuaranteeChecker &checker, std::string id,
                 std::string service, std::string zone, std::string softwareVersion)
    : m_store(store)
    , m_checker(checker)
    , m_id(std::move(id))
    , m_service(std::move(service))
    , m_zone(std::move(zone))
    , m_softwareVersion(std::move(softwareVersion))
    , m_replica(std::make_unique<standins::Replica>([this](const auto &request, auto &connection) { return serve(request, connection); }))
    , m_proxy(std::make_unique<standins::FaultProxy>(workers, m_replica->address()))
{
    m_checker.noteZone(m_id, m_zone);
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

void BackEnd::setBehavior(const EngineBehavior &behavior)
{
    const std::lock_guard lock(m_mutex);
    m_behavior = behavior;
}

void BackEnd::publishRegistration()
{
    support::ReplicaRegistration registration;
    registration.service = m_service;
    registration.address = m_proxy->address();
    registration.zone = m_zone;
    registration.softwareVersion = m_softwareVersion;
    registration.isDraining = m_isDraining;
    registration.weights = weightVersion();
    m_store.put("servers", m_id, support::replicaObject(registration));
}

void BackEnd::publishDraining()
{
    m_isDraining = true;
    publishRegistration();
    m_checker.noteDraining(m_id, now());
}

void BackEnd::removeRegistration()
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

u64 BackEnd::weightVersion() const
{
    auto &self = const_cast<BackEnd &>(*this);
    const std::lock_guard lock(self.m_mutex);
    self.finishLoadIfDue();
    return m_weightVersion;
}

ConnectionAction BackEnd::serve(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    if (now() < m_downUntil.load()) {
        return ConnectionAction::Reset;
    }
    if (request.target == "/report") {
        connection.write(standins::completeResponse(request, Ok, statusJson()));
        return ConnectionAction::Keep;
    }
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_id) {
        connection.write(standins::completeResponse(request, MisdirectedRequest, "", NotExecutedHeader));
        return ConnectionAction::Keep;
    }
    return request.target == "/order" ? handleWeightOrder(request, connection) : run(request, connection);
}

ConnectionAction BackEnd::run(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    const auto received = now();
    const auto attempt = request.header("X-Attempt-Id");
    if (waitForDisconnect(attempt, connection)) {
        return ConnectionAction::Close;
    }
    const auto mode = m_mode.load();
    const u64 loadedVersion = weightVersion();
    const auto expectedVersion = request.header("X-Expect-Version");
    const bool isLoading = isEngine() && [this] {
        const std::lock_guard lock(m_mutex);
        return m_loadingVersion > 0;
    }();
    if (mode == EndpointMode::Declining || isLoading) {
        connection.write(standins::completeResponse(request, Unavailable, "", NotExecutedHeader));
        return ConnectionAction::Keep;
    }
    if (!expectedVersion.empty() && expectedVersion != std::to_string(loadedVersion)) {
        connection.write(standins::completeResponse(request, MisdirectedRequest, "", NotExecutedHeader));
        return ConnectionAction::Keep;
    }
    if (request.target == PoisonPath) {
        m_checker.notePoisonRun(m_id, now());
        return ConnectionAction::Close;
    }
    m_checker.noteExecution({attempt, m_id, request.header("X-Tenant-Id"), loadedVersion, received, now()});
    const int slowdown = mode == EndpointMode::Slow ? SlowFactor : 1;
    std::this_thread::sleep_for((isEngine() ? PromptPrefillTime : PlainServiceTime) * slowdown);
    if (mode == EndpointMode::Failing) {
        connection.write(standins::completeResponse(request, ServerError, "failed"));
        return ConnectionAction::Keep;
    }
    if (!isEngine()) {
        const auto answer = standins::completeResponse(request, Ok, "done " + attempt);
        connection.write(mode == EndpointMode::Truncating ? answer.substr(0, answer.size() / 2) : answer);
        return mode == EndpointMode::Truncating ? ConnectionAction::Close : ConnectionAction::Keep;
    }
    if (request.header("X-Prompt-Prefix").find(PoisonPart + ":") != std::string::npos) {
        connection.write(standins::streamHead(request) + standins::eventChunk(1, attempt));
        crash();
        return ConnectionAction::Reset;
    }
    return stream(request, connection, mode);
}

void BackEnd::crash()
{
    const auto at = now();
    auto downUntil = m_downUntil.load();
    if (at < downUntil || !m_downUntil.compare_exchange_strong(downUntil, at + CrashDownTime)) {
        return;
    }
    m_checker.notePoisonedPromptRun(m_id, at, at + CrashDownTime);
    m_proxy->closeConnections();
}

// Some streams have neither a length nor chunks and end with their connection, which also ends when the engine fails inside an event.
ConnectionAction BackEnd::stream(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection, EndpointMode mode)
{
    const auto attempt = request.header("X-Attempt-Id");
    const bool isUnframed = std::hash<std::string>()(attempt) % UnframedOneIn == 0;
    const int slowdown = mode == EndpointMode::Slow ? SlowFactor : 1;
    const bool isResumable = request.target.starts_with(ResumablePath);
    const auto &data = isResumable ? m_softwareVersion : attempt;
    const auto lastEvent = request.header("Last-Event-Id");
    connection.write(isUnframed ? standins::unframedStreamHead(request) : standins::streamHead(request));
    for (u32 event = 1 + (lastEvent.empty() ? 0 : static_cast<u32>(std::stoul(lastEvent))); event <= EventsPerPrompt; ++event) {
        const auto text = standins::eventText(event, data);
        if (mode == EndpointMode::Truncating && event > EventsPerPrompt / 2) {
            connection.write(isUnframed ? text.substr(0, text.size() / 2) : "");
            return ConnectionAction::Close;
        }
        connection.write(isUnframed ? text : standins::eventChunk(event, data));
        std::this_thread::sleep_for(EventInterval * slowdown);
    }
    if (isUnframed) {
        return ConnectionAction::Close;
    }
    connection.write(standins::StreamEnd);
    return ConnectionAction::Keep;
}

ConnectionAction BackEnd::handleWeightOrder(const standins::ReceivedRequest &request, standins::ReplicaConnection &connection)
{
    const auto body = boost::json::parse(request.body).as_object();
    m_checker.noteOrder({m_id, clients::textOf(body, "holder"), clients::numberOf(body, "fencingToken"), now()});
    const u64 version = clients::numberOf(body, "version");
    u16 status = Accepted;
    std::this_thread::sleep_for(behavior().orderDelay);
    {
        const std::lock_guard lock(m_mutex);
        finishLoadIfDue();
        if (m_weightVersion >= version) {
            status = Ok;
        } else if (now() < m_behavior.rejectsOrdersUntil || m_loadingVersion > 0
                   || clients::numberOf(body, "expected") != m_acceptedOrders) {
            status = Conflict;
        } else {
            m_loadingVersion = version;
            ++m_acceptedOrders;
            m_loadFinishTime = now() + m_behavior.loadTime;
        }
    }
    connection.write(standins::completeResponse(request, status, ""));
    return ConnectionAction::Keep;
}

// Simulates the queue of an engine, which drops a prompt that it has not started when the connection closes. True if it closed.
bool BackEnd::waitForDisconnect(const std::string &attempt, const standins::ReplicaConnection &connection)
{
    const auto maxWaitMs = static_cast<u64>(behavior().maxQueueTime.count());
    return maxWaitMs > 0 && connection.waitForClose(Duration(static_cast<i64>(std::hash<std::string>()(attempt) % maxWaitMs)));
}

EngineBehavior BackEnd::behavior()
{
    const std::lock_guard lock(m_mutex);
    return m_behavior;
}

// The caller holds m_mutex.
void BackEnd::finishLoadIfDue()
{
    if (m_loadingVersion > 0 && now() >= m_loadFinishTime) {
        m_weightVersion = m_loadingVersion;
        m_loadingVersion = 0;
    }
}

std::string BackEnd::statusJson()
{
    const std::lock_guard lock(m_mutex);
    finishLoadIfDue();
    return fmt::format(R"({{"busy":{},"seq":{},"running":0,"models":[{{"name":"m","version":{}}}]}})", m_loadingVersion > 0,
                       m_acceptedOrders, m_weightVersion);
}

} // namespace soak
