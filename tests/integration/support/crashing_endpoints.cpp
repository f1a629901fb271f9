#include <support/crashing_endpoints.hpp>

#include <support/platform_objects.hpp>

#include <algorithm>
#include <thread>

namespace support {

namespace {

using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::ReplicaConnection;

constexpr u32 EventsPerPrompt = 4;
constexpr auto StepTime = std::chrono::milliseconds(15);
constexpr auto RestartTime = std::chrono::milliseconds(400);
constexpr u16 Ok = 200;
constexpr u16 MisdirectedRequest = 421;

} // namespace

struct CrashingEndpoints::Endpoint
{
    std::string id;
    u32 crashes = 0;
    bool isDown = false;
    std::unique_ptr<standins::Replica> replica;
};

CrashingEndpoints::CrashingEndpoints(standins::ObjectStore &store, std::string service, u32 count, CrashRule crashes)
    : m_store(store)
    , m_service(std::move(service))
    , m_crashes(std::move(crashes))
    , m_eventsPerAnswer(EventsPerPrompt)
{
    for (u32 i = 0; i < count; ++i) {
        auto &endpoint = *m_endpoints.emplace_back(std::make_unique<Endpoint>());
        endpoint.replica = std::make_unique<standins::Replica>(
            [this, &endpoint](const auto &request, auto &connection) { return serve(endpoint, request, connection); });
        registerAnew(endpoint);
    }
}

// The threads of the replicas use the members, so they have to end first.
CrashingEndpoints::~CrashingEndpoints()
{
    for (const auto &endpoint : m_endpoints) {
        endpoint->replica.reset();
    }
}

void CrashingEndpoints::setEventsPerAnswer(u32 count)
{
    m_eventsPerAnswer = count;
}

void CrashingEndpoints::crashAtOnce(std::size_t count)
{
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < std::min(count, m_endpoints.size()); ++i) {
        threads.emplace_back([this, i] { crash(*m_endpoints[i]); });
    }
    for (auto &thread : threads) {
        thread.join();
    }
}

std::vector<CrashingEndpoints::Clock::time_point> CrashingEndpoints::crashTimes() const
{
    const std::lock_guard lock(m_mutex);
    return m_crashTimes;
}

std::size_t CrashingEndpoints::crashingArrivalsAfter(Clock::time_point time) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_crashingArrivals.begin(), m_crashingArrivals.end(), [time](const auto arrival) { return arrival > time; }));
}

ConnectionAction CrashingEndpoints::serve(Endpoint &endpoint, const ReceivedRequest &request, ReplicaConnection &connection)
{
    u32 crashesBefore = 0;
    {
        const std::lock_guard lock(m_mutex);
        if (endpoint.isDown) {
            return ConnectionAction::Reset;
        }
        crashesBefore = endpoint.crashes;
        const auto expected = request.header("X-Expect-Instance");
        if (!expected.empty() && expected != endpoint.id) {
            connection.write(standins::completeResponse(request, MisdirectedRequest, "", "X-Not-Executed: 1\r\n"));
            return ConnectionAction::Keep;
        }
    }
    const bool isStream = m_service == "engines";
    const bool isFatal = isCrashing(request);
    connection.write(isStream ? standins::streamHead(request) : "");
    const u32 events = m_eventsPerAnswer;
    for (u32 event = 1; event <= events; ++event) {
        connection.write(isStream ? standins::eventChunk(event, "x") : "");
        std::this_thread::sleep_for(StepTime);
        if (isFatal) {
            crash(endpoint);
            return ConnectionAction::Reset;
        }
        const std::lock_guard lock(m_mutex);
        if (endpoint.crashes != crashesBefore) {
            return ConnectionAction::Reset;
        }
    }
    connection.write(isStream ? standins::StreamEnd : standins::completeResponse(request, Ok, "done"));
    return ConnectionAction::Keep;
}

bool CrashingEndpoints::isCrashing(const ReceivedRequest &request)
{
    if (!m_crashes(request)) {
        return false;
    }
    const std::lock_guard lock(m_mutex);
    m_crashingArrivals.push_back(Clock::now());
    return true;
}

void CrashingEndpoints::crash(Endpoint &endpoint)
{
    {
        const std::lock_guard lock(m_mutex);
        if (std::exchange(endpoint.isDown, true)) {
            return;
        }
        ++endpoint.crashes;
        m_crashTimes.push_back(Clock::now());
    }
    std::this_thread::sleep_for(RestartTime);
    m_store.erase("servers", endpoint.id);
    registerAnew(endpoint);
}

void CrashingEndpoints::registerAnew(Endpoint &endpoint)
{
    ReplicaRegistration registration;
    registration.service = m_service;
    registration.address = endpoint.replica->address();
    std::string id;
    {
        const std::lock_guard lock(m_mutex);
        id = m_service + "-" + std::to_string(++m_registrations);
        endpoint.id = id;
        endpoint.isDown = false;
    }
    m_store.put("servers", id, replicaObject(registration));
}

} // namespace support
