#include "replica.hpp"

#include <boost/json.hpp>
#include <cstdlib>
#include <thread>
#include <utility>

namespace review {

namespace {

namespace json = boost::json;

constexpr int EventCount = 2;

std::string seal(const Message &request)
{
    return "X-Attempt-Id: " + request.header("X-Attempt-Id") + "\r\nX-Server-Seal: 3e1b.07.5a2\r\n";
}

std::string jsonResponse(int status, const std::string &body)
{
    return response(status, body, "Content-Type: application/json\r\n");
}

std::int64_t unixMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

} // namespace

Replica::Replica(const ReplicaOptions &options, PlatformStore &store, Record &record)
    : m_options(options)
    , m_store(store)
    , m_record(record)
    , m_bornMs(unixMs())
    , m_listener([this](const Message &request, Peer &peer) { return handle(request, peer); })
{
    enterList();
}

const std::string &Replica::id() const
{
    return m_options.id;
}

std::string Replica::address() const
{
    return m_listener.address();
}

std::vector<Order> Replica::orders() const
{
    const std::lock_guard lock(m_mutex);
    return m_orders;
}

std::int64_t Replica::version() const
{
    const std::lock_guard lock(m_mutex);
    return m_version;
}

std::vector<std::string> Replica::runAttempts() const
{
    const std::lock_guard lock(m_mutex);
    return m_attempts;
}

void Replica::leaveNextOrderUnanswered(Milliseconds carryOutAfter)
{
    const std::lock_guard lock(m_mutex);
    m_carryOutAfter = carryOutAfter;
}

std::vector<CacheUse> Replica::cacheUses() const
{
    const std::lock_guard lock(m_mutex);
    return m_cacheUses;
}

void Replica::setWorkTime(Milliseconds time)
{
    const std::lock_guard lock(m_mutex);
    m_options.workTime = time;
}

void Replica::failRequests(int status, int ofTen)
{
    const std::lock_guard lock(m_mutex);
    m_failureStatus = status;
    m_failuresOfTen = ofTen;
}

void Replica::endStreamsWithConnection()
{
    const std::lock_guard lock(m_mutex);
    m_endsStreamsWithConnection = true;
}

void Replica::enterList()
{
    std::string entry;
    {
        const std::lock_guard lock(m_mutex);
        entry = R"({"service":")" + m_options.service + R"(","address":")" + m_listener.address() + R"(","zone":")" + m_options.zone
            + R"(","version":"v1","slots":)" + (m_options.model.empty() ? "6" : "64") + R"(,"state":")"
            + (m_isDraining ? "draining" : "in_service") + R"(","coldLeftMs":0,"seq":1,"born":)" + std::to_string(m_bornMs);
        if (!m_options.model.empty()) {
            entry += R"(,"stage":"colocated","models":[{"name":")" + m_options.model + R"(","version":)" + std::to_string(m_version)
                + R"(,"adapters":[]}])";
        }
        entry += "}";
    }
    m_store.put("servers", m_options.id, entry);
}

void Replica::setDraining()
{
    {
        const std::lock_guard lock(m_mutex);
        m_isDraining = true;
    }
    m_record.line("replica " + m_options.id + " reports draining, and the store has accepted it");
    enterList();
}

Next Replica::handle(const Message &request, Peer &peer)
{
    const auto target = request.target();
    const auto expected = request.header("X-Expect-Instance");
    if (!expected.empty() && expected != m_options.id) {
        peer.send(response(421, "", seal(request) + "X-Not-Executed: 1\r\n"));
        return Next::KeepOpen;
    }
    if (target == "/report") {
        const std::lock_guard lock(m_mutex);
        peer.send(jsonResponse(200,
                               R"({"stage":"colocated","models":[{"name":")" + m_options.model + R"(","version":)"
                                   + std::to_string(m_version) + R"(,"adapters":[]}],"busy":)" + (m_isBusy ? "true" : "false")
                                   + R"(,"seq":)" + std::to_string(m_seq)
                                   + R"(,"waiting":0,"running":0,"kvUsed":0,"kvTotal":61940,"handles":0,"state":"in_service"})"));
        return Next::KeepOpen;
    }
    if (target == "/order") {
        return takeOrder(request, peer);
    }
    return run(request, peer);
}

Next Replica::takeOrder(const Message &request, Peer &peer)
{
    const auto body = json::parse(request.body).as_object();
    Order order;
    order.at = Clock::now();
    order.holder = body.at("holder").as_string();
    order.token = body.at("fencingToken").to_number<std::int64_t>();
    order.version = body.at("version").to_number<std::int64_t>();
    const auto *expected = body.if_contains("expected");
    std::int64_t expectedSeq = 0;
    std::optional<Milliseconds> carryOutAfter;
    {
        const std::lock_guard lock(m_mutex);
        expectedSeq = expected == nullptr ? m_seq : expected->to_number<std::int64_t>();
        carryOutAfter = std::exchange(m_carryOutAfter, std::nullopt);
        if (!carryOutAfter) {
            const bool isRefused = m_isBusy || expectedSeq != m_seq;
            order.status = isRefused ? 409 : (m_version >= order.version ? 200 : 202);
        }
        m_orders.push_back(order);
    }
    m_record.line("order reaches " + m_options.id + ": version " + std::to_string(order.version) + " by holder " + order.holder
                  + " with fencing token " + std::to_string(order.token) + ", "
                  + (order.status == 0 ? "left unanswered" : "answered " + std::to_string(order.status)));
    if (onOrder) {
        onOrder(*this, order);
    }
    if (carryOutAfter) {
        load(order.version, expectedSeq, *carryOutAfter);
        return Next::StaySilent;
    }
    if (order.status == 202) {
        load(order.version, expectedSeq, Milliseconds(0));
    }
    peer.send(jsonResponse(order.status, "{}"));
    return Next::KeepOpen;
}

void Replica::load(std::int64_t version, std::int64_t expectedSeq, Milliseconds delay)
{
    const auto begin = [this, version, expectedSeq] {
        const std::lock_guard lock(m_mutex);
        const bool isAccepted = !m_isBusy && expectedSeq == m_seq && m_version < version;
        m_seq += isAccepted ? 1 : 0;
        m_isBusy = m_isBusy || isAccepted;
        return isAccepted;
    };
    const auto finish = [this, version] {
        std::this_thread::sleep_for(m_options.loadTime);
        {
            const std::lock_guard lock(m_mutex);
            m_version = version;
            m_isBusy = false;
        }
        m_record.line("replica " + m_options.id + " has loaded version " + std::to_string(version));
        enterList();
    };
    if (delay.count() > 0) {
        std::thread([delay, begin, finish] {
            std::this_thread::sleep_for(delay);
            if (begin()) {
                finish();
            }
        }).detach();
    } else if (begin()) {
        std::thread(finish).detach();
    }
}

// All parts but the last one, which belongs to the request; a part counts only if all parts before it are cached too.
void Replica::useCache(const Message &request)
{
    const auto tenant = request.header("X-Tenant-Id");
    const auto salt = request.header("X-Cache-Salt");
    std::string parts = request.header("X-Prompt-Prefix");
    bool isPrefixCached = true;
    for (auto comma = parts.find(','); comma != std::string::npos; comma = parts.find(',')) {
        const auto part = parts.substr(0, parts.find(':'));
        parts.erase(0, comma + 1);
        const auto [entry, isNew] = m_cache.try_emplace({salt, part}, tenant);
        isPrefixCached = isPrefixCached && !isNew;
        if (isPrefixCached) {
            m_cacheUses.push_back({Clock::now(), request.header("X-Attempt-Id"), tenant, part, entry->second});
        }
    }
}

Next Replica::run(const Message &request, Peer &peer)
{
    const auto attempt = request.header("X-Attempt-Id");
    const auto wanted = request.header("X-Expect-Version");
    int status = 200;
    bool isBusy = false;
    std::int64_t version = 0;
    Milliseconds workTime{};
    {
        const std::lock_guard lock(m_mutex);
        workTime = m_options.workTime;
        status = m_requestCount++ % 10 < m_failuresOfTen ? m_failureStatus : 200;
        isBusy = m_isBusy;
        version = m_version;
    }
    if (attempt.empty()) {
        peer.send(response(400, "", "X-Not-Executed: 1\r\n"));
        return Next::KeepOpen;
    }
    if (!wanted.empty() && wanted != std::to_string(version)) {
        peer.send(response(421, "", seal(request) + "X-Not-Executed: 1\r\n"));
        return Next::KeepOpen;
    }
    if (isBusy) {
        peer.send(response(503, "", seal(request) + "X-Not-Executed: 1\r\n"));
        return Next::KeepOpen;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_attempts.push_back(attempt);
        useCache(request);
    }
    m_record.line("replica " + m_options.id + " runs " + attempt + ", to answer with " + std::to_string(status));
    std::this_thread::sleep_for(workTime);
    if (m_options.model.empty() || status != 200) {
        peer.send(response(status, "body of " + attempt, seal(request)));
        return Next::KeepOpen;
    }
    return answerStream(request, peer, version);
}

Next Replica::answerStream(const Message &request, Peer &peer, std::int64_t version)
{
    bool endsWithConnection = false;
    const bool isReset = mustReset && mustReset(request);
    {
        const std::lock_guard lock(m_mutex);
        endsWithConnection = m_endsStreamsWithConnection;
    }
    const int last = std::atoi(request.header("Last-Event-Id").c_str());
    std::string events;
    for (int i = last + 1; i <= EventCount; ++i) {
        events += "id: " + std::to_string(i) + "\ndata: token " + std::to_string(i) + "\n\n";
    }
    const auto headers = seal(request) + "Content-Type: text/event-stream\r\nX-Weight-Versions: " + std::to_string(version) + "\r\n";
    if (!endsWithConnection) {
        peer.send(response(200, events, headers));
        return Next::KeepOpen;
    }
    peer.send("HTTP/1.1 200 X\r\n" + headers + "\r\n" + events);
    if (!isReset) {
        return Next::Close;
    }
    // The events have to arrive before the reset.
    std::this_thread::sleep_for(Milliseconds(100));
    m_record.line("the connection of " + request.header("X-Attempt-Id") + " at " + m_options.id + " is reset after the last event");
    return Next::Reset;
}

} // namespace review
