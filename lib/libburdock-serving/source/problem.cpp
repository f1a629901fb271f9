#include <burdock/serving/problem.hpp>

#include <boost/json.hpp>

namespace burdock::serving {

namespace {

namespace json = boost::json;

json::object problemObject(u16 status, std::string_view reason, std::string_view verdict)
{
    return {{"type", "urn:burdockpaddle:" + std::string(reason)}, {"title", reason}, {"status", status}, {"verdict", verdict}};
}

u64 wholeSeconds(Duration duration)
{
    return static_cast<u64>(std::chrono::ceil<std::chrono::seconds>(duration).count());
}

} // namespace

std::string problemBody(const Refusal &refusal)
{
    const auto &rule = refusalRule(refusal.reason);
    auto body = problemObject(rule.httpStatus, rule.name, toString(rule.verdict));
    if (refusal.retryAfter > Duration::zero()) {
        body["retry_after_ms"] = static_cast<i64>(toMilliseconds(refusal.retryAfter));
    }
    return json::serialize(body);
}

runtime::http::Response problemFor(const Refusal &refusal)
{
    runtime::http::Response response;
    response.status = refusalRule(refusal.reason).httpStatus;
    response.headers.emplace_back("Content-Type", "application/problem+json");
    if (refusal.retryAfter > Duration::zero()) {
        response.headers.emplace_back("Retry-After", std::to_string(wholeSeconds(refusal.retryAfter)));
    }
    response.body = problemBody(refusal);
    return response;
}

runtime::http::Response problem(u16 status, std::string_view reason, std::string_view detail)
{
    auto body = problemObject(status, reason, toString(Verdict::NotRun));
    body["detail"] = detail;
    runtime::http::Response response;
    response.status = status;
    response.headers.emplace_back("Content-Type", "application/problem+json");
    response.body = json::serialize(body);
    return response;
}

} // namespace burdock::serving
