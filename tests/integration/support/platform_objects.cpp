#include <support/platform_objects.hpp>

#include <boost/json.hpp>
#include <fmt/format.h>

namespace support {

namespace {

namespace json = boost::json;

constexpr u32 LastingTimeoutMs = 8000;

std::string route(const std::string &name, const std::string &kind, const std::string &service, u32 timeoutMs = 3000)
{
    return fmt::format(R"({{"name":"{0}","host":"desk.example","pathPrefix":"/{0}/","routeType":"{1}","service":"{2}","timeoutMs":{6},)"
                       R"("targetLatencyMs":2000,"priority":1,"maxAttempts":2,"noAuth":{3},"sticky":{4},"resumable":{5}}})",
                       name, kind, service, name == "open", kind == "streaming", name == "resumable" || name == "lasting", timeoutMs);
}

} // namespace

json::value configurationObject(u64 version, const std::vector<std::string> &keys)
{
    const std::string routes = route("once", "non_idempotent", "plain") + "," + route("read", "idempotent", "plain") + ","
        + route("open", "idempotent", "plain") + "," + route("prompts", "streaming", "engines") + ","
        + route("resumable", "streaming", "engines") + "," + route("lasting", "streaming", "engines", LastingTimeoutMs);
    const std::string services = R"({"name":"plain","maxConnections":100,"coldPerS":0.0},)"
                                 R"({"name":"engines","maxConnections":100,"coldPerS":0.0,)"
                                 R"("engine":{"slots":8,"kvCapacity":100000,"models":[{"name":"m"}]}})";
    const std::string limits = R"({"maxHeaderBytes":4096,"maxBodyBytes":65536,"headerTimeoutMs":1000,"idleTimeoutMs":5000})";
    const auto keyList = json::serialize(json::array(keys.begin(), keys.end()));
    return json::parse(
        fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],"tenants":[{{"name":"desk","apiKeys":{}}}],"limits":{}}})", version,
                    routes, services, keyList, limits));
}

json::value replicaObject(const ReplicaRegistration &registration)
{
    return json::parse(fmt::format(R"({{"service":"{}","address":"{}","zone":"{}","version":"{}","slots":8,"state":"{}",)"
                                   R"("coldLeftMs":0,"born":{},"models":[{{"name":"m","version":{}}}]}})",
                                   registration.service, registration.address, registration.zone, registration.softwareVersion,
                                   registration.isDraining ? "draining" : "in_service", registration.startTimeMs, registration.weights));
}

} // namespace support
