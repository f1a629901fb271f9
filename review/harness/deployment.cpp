#include "deployment.hpp"

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace review {

namespace {

constexpr const char *Daemon = "target/main/daemon/burdockpaddled";
/** The smaller one of the sheets. */
constexpr int MemoryMegabytes = 110;
constexpr Milliseconds StartTimeout(20'000);
constexpr Milliseconds CallTimeout(6'000);
constexpr Milliseconds PollPeriod(5);

std::string route(const std::string &name, const std::string &kind, const std::string &service, bool isPrompt, bool isResumable = false)
{
    return R"({"name":")" + name + R"(","host":"desk.example","pathPrefix":"/)" + name + R"(/","routeType":")" + kind + R"(","service":")"
        + service + R"(","timeoutMs":3000,"targetLatencyMs":500,"priority":1,"maxAttempts":2,"gapAimMs":300,"noAuth":false,"sticky":)"
        + (isPrompt ? "true" : "false") + R"(,"resumable":)" + (isResumable ? "true" : "false") + "}";
}

// The settings of deploy/gateway.json.tmpl with the bounds of a small deployment.
std::string settings(const std::string &name, const std::string &zone, const std::string &platform, int callerPort, int readinessPort)
{
    const auto local = [](int port) {
        return "\"127.0.0.1:" + std::to_string(port) + "\"";
    };
    return R"({"name":")" + name + R"(","zone":")" + zone + R"(","callers_listen":)" + local(callerPort) + R"(,"readiness_listen":)"
        + local(readinessPort) + R"(,"metrics_listen":)" + local(freePort()) + R"(,"load_listen":)" + local(freePort()) + R"(,"platform":")"
        + platform + R"(","log_level":"info","grace_seconds":8,"revocation_ms":5000,"retry_share":0.2,"retry_slack":56,"weights_ms":12000,)"
        + R"("order_pause_ms":3000,"cold_factor":1.5,"cold_slack":5,"descriptors":4100,"memory_mb":)" + std::to_string(MemoryMegabytes)
        + R"(,"shared_reading":true})";
}

std::string partId(const std::string &text)
{
    std::ostringstream id;
    id << std::hex << std::setw(8) << std::setfill('0') << (std::hash<std::string>{}(text)&0xffffffff);
    return id.str();
}

std::string temporaryDirectory()
{
    std::string path = (std::filesystem::temp_directory_path() / "burdock-review-XXXXXX").string();
    if (::mkdtemp(path.data()) == nullptr) {
        std::_Exit(static_cast<int>(Verdict::CouldNotRun));
    }
    return path;
}

} // namespace

Gateway::Gateway(std::string name, std::string zone, const std::string &directory, const std::string &platform)
    : m_name(std::move(name))
    , m_directory(directory)
{
    std::ofstream(m_directory + "/" + m_name + ".json") << settings(m_name, zone, platform, m_callerPort, m_readinessPort);
}

Gateway::~Gateway()
{
    kill();
}

void Gateway::start()
{
    const auto log = m_directory + "/" + m_name + ".log";
    const auto option = "--settings=" + m_directory + "/" + m_name + ".json";
    const pid_t parent = ::getpid();
    const pid_t process = ::fork();
    if (process != 0) {
        m_pid = process;
        return;
    }
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (::getppid() != parent) {
        std::_Exit(1);
    }
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(Daemon, Daemon, "gateway", option.c_str(), nullptr);
    std::_Exit(1);
}

void Gateway::kill()
{
    if (m_pid > 0) {
        const pid_t process = m_pid.exchange(0);
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
}

bool Gateway::isRunning()
{
    return m_pid > 0 && ::waitpid(m_pid, nullptr, WNOHANG) == 0;
}

bool Gateway::isReady() const
{
    const auto answer = exchange(m_readinessPort, "GET /readiness HTTP/1.1\r\nHost: node\r\n\r\n", Milliseconds(1000));
    return answer && answer->status() == 200;
}

long Gateway::residentKilobytes() const
{
    std::ifstream file("/proc/" + std::to_string(m_pid.load()) + "/status");
    std::string key;
    long kilobytes = 0;
    while (file >> key && key != "VmRSS:") { }
    file >> kilobytes;
    return kilobytes;
}

int Gateway::callerPort() const
{
    return m_callerPort;
}

const std::string &Gateway::name() const
{
    return m_name;
}

Deployment::Deployment(int argc, char **argv, std::size_t gateways, std::size_t models, std::size_t plain)
    : m_directory(temporaryDirectory())
    , m_record(argc > 1 ? argv[1] : "record.txt")
{
    ::signal(SIGPIPE, SIG_IGN);
    if (::access(Daemon, X_OK) != 0) {
        end(Verdict::CouldNotRun, std::string(Daemon) + " is not built");
    }
    const std::vector<std::string> zones{"ne-a", "ne-b", "ne-c", "ne-d"};
    for (std::size_t i = 0; i < models; ++i) {
        ReplicaOptions options;
        options.id = "i-model-" + std::to_string(i + 1);
        options.service = "engines";
        options.zone = zones[i % zones.size()];
        options.model = "m0";
        m_models.push_back(std::make_unique<Replica>(options, m_store, m_record));
    }
    for (std::size_t i = 0; i < plain; ++i) {
        ReplicaOptions options;
        options.id = "i-plain-" + std::to_string(i + 1);
        options.service = "ledger";
        options.zone = zones[i % zones.size()];
        m_plain.push_back(std::make_unique<Replica>(options, m_store, m_record));
    }
    for (std::size_t i = 0; i < gateways; ++i) {
        const auto &zone = zones[i % zones.size()];
        m_gateways.push_back(
            std::make_unique<Gateway>("front-" + zone + "-" + std::to_string(i / zones.size() + 1), zone, m_directory, m_store.addDoor()));
    }
    writeConfiguration(3);
}

Deployment::~Deployment() = default;

bool Deployment::hasTrouble() const
{
    const char *trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string_view(trouble) != "0";
}

Record &Deployment::record()
{
    return m_record;
}

PlatformStore &Deployment::store()
{
    return m_store;
}

Gateway &Deployment::gateway(std::size_t index)
{
    return *m_gateways.at(index);
}

std::size_t Deployment::gatewayCount() const
{
    return m_gateways.size();
}

Gateway &Deployment::gatewayNamed(const std::string &name)
{
    for (const auto &gateway : m_gateways) {
        if (gateway->name() == name) {
            return *gateway;
        }
    }
    end(Verdict::CouldNotRun, "there is no gateway " + name);
}

Replica &Deployment::model(std::size_t index)
{
    return *m_models.at(index);
}

std::size_t Deployment::modelCount() const
{
    return m_models.size();
}

Replica &Deployment::plain(std::size_t index)
{
    return *m_plain.at(index);
}

std::string Deployment::keyOf(std::size_t tenant)
{
    return tenant == 0 ? std::string(ClientKey) : "jnbanfqasnmgkcuyj" + std::to_string(100 + tenant);
}

void Deployment::writeConfiguration(int version, std::size_t tenants, bool isFirstAlone)
{
    std::string tenantList;
    for (std::size_t i = 0; i < tenants; ++i) {
        tenantList += (i == 0 ? "" : ",") + (R"({"name":"pulo)" + std::to_string(780 + i)) + R"(","apiKeys":[")" + keyOf(i)
            + R"("],"isolated":)" + (i == 0 && isFirstAlone ? "true}" : "false}");
    }
    const auto routes = route("once", "non_idempotent", "ledger", false) + "," + route("read", "idempotent", "ledger", false) + ","
        + route("prompts", "streaming", "engines", true) + "," + route("res", "streaming", "engines", true, true);
    m_store.put(
        "config", "main",
        R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + routes
            + R"(],"services":[{"name":"ledger","maxConnections":110,"coldPerS":0.0},{"name":"engines","maxConnections":370,)"
            + R"("coldPerS":13.0,"engine":{"slots":64,"kvCapacity":61940,"kvBytes":35136.0,"maxInflight":8,"models":[{"name":"m0"}]}}],)"
            + R"("tenants":[)" + tenantList + R"(],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,)"
            + R"("headerTimeoutMs":4000,"idleTimeoutMs":10000}})");
    m_record.line("the operator writes configuration " + std::to_string(version) + " with " + std::to_string(tenants) + " tenants"
                  + (isFirstAlone ? ", the first one isolated" : "") + ", and the store has accepted it");
}

void Deployment::nameWeights(int version)
{
    m_record.line("the operator names version " + std::to_string(version) + " of m0, and the store has accepted it");
    m_store.put("versions", "m0", R"({"model":"m0","version":)" + std::to_string(version) + "}");
}

bool Deployment::start()
{
    for (const auto &gateway : m_gateways) {
        gateway->start();
    }
    return waitFor(
        [this] {
            for (const auto &gateway : m_gateways) {
                if (!gateway->isReady()) {
                    return false;
                }
            }
            return true;
        },
        StartTimeout);
}

bool Deployment::waitFor(const std::function<bool()> &condition, Milliseconds time) const
{
    const auto deadline = Clock::now() + time;
    while (!condition()) {
        if (Clock::now() >= deadline) {
            return false;
        }
        std::this_thread::sleep_for(PollPeriod);
    }
    return true;
}

std::string Deployment::requestText(const std::string &path, const std::string &attempt, const std::string &body, const std::string &key,
                                    const std::string &headers)
{
    const bool isPrompt = path.rfind("/prompts/", 0) == 0 || path.rfind("/res/", 0) == 0;
    std::string request = (path.rfind("/read/", 0) == 0 ? "GET " : "POST ") + path
        + " HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: 5000\r\nAuthorization: Token " + key + "\r\n";
    if (isPrompt) {
        request += "X-Model-Id: m0\r\nX-Token-Usage: 250,4\r\nX-Prompt-Prefix: 5c1e07a2:100," + partId("session " + attempt) + ":60,"
            + partId(attempt) + ":90\r\n";
    }
    return request + headers + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<Message> Deployment::call(std::size_t gateway, const std::string &path, const std::string &attempt)
{
    const auto answer = exchange(m_gateways.at(gateway)->callerPort(), requestText(path, attempt, ""), CallTimeout);
    m_record.line("client sent " + attempt + " (" + path + ") to " + m_gateways.at(gateway)->name() + ": "
                  + (answer ? answer->startLine + (answer->header("X-Server-Seal").empty() ? ", no seal" : ", seal") : "no answer"));
    return answer;
}

void Deployment::startTraffic(Milliseconds period)
{
    std::thread([this, period] {
        for (std::size_t i = 0;; ++i) {
            std::this_thread::sleep_for(period);
            std::thread([this, i] {
                const std::vector<std::string> paths{"/prompts/a", "/once/a", "/read/a"};
                static_cast<void>(call(i % m_gateways.size(), paths[i % paths.size()], "a" + std::to_string(100'000 + i)));
            }).detach();
        }
    }).detach();
}

void Deployment::end(Verdict verdict, const std::string &reason)
{
    const std::string name = verdict == Verdict::Held ? "HELD" : (verdict == Verdict::Broken ? "BROKEN" : "COULD NOT RUN");
    m_record.line(name + ": " + reason);
    std::cout << name << ": " << reason << std::endl;
    for (const auto &gateway : m_gateways) {
        gateway->kill();
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOGS") == nullptr) {
        std::filesystem::remove_all(m_directory, ignored);
    } else {
        std::cout << m_directory << std::endl;
    }
    std::_Exit(static_cast<int>(verdict));
}

} // namespace review
