#include <burdock/ops/explain.hpp>

#include <burdock/clients/json_fields.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace burdock::ops {

namespace {

namespace json = boost::json;

/** Context events are included from this long before the first event of the request. */
constexpr i64 ContextBeforeMs = 3000;

const std::set<std::string, std::less<>> DependencyEvents{"store_lost", "store_regained",   "configuration_taken", "zone_out",
                                                          "draining",   "cache_store_lost", "duty_lost",           "duty_gained",
                                                          "started",    "weights_named"};
const std::set<std::string, std::less<>> CommonFields{"ts_ms", "vm", "event", "level", "id"};

struct LogRecord
{
    TimelineEntry line;
    std::string id;
    std::string endpoint;
};

std::string formatDetails(const json::object &object)
{
    std::string details;
    for (const auto &[key, value] : object) {
        if (CommonFields.count(std::string_view(key)) == 0) {
            details += details.empty() ? "" : " ";
            details += std::string(key) + "=" + json::serialize(value);
        }
    }
    return details;
}

std::vector<LogRecord> readRecords(std::istream &logs)
{
    std::vector<LogRecord> records;
    for (std::string text; std::getline(logs, text);) {
        const auto begin = text.find('{');
        boost::system::error_code error;
        const auto value = begin == std::string::npos ? json::value() : json::parse(std::string_view(text).substr(begin), error);
        const auto *object = error ? nullptr : value.if_object();
        if (object == nullptr || clients::textOf(*object, "event").empty()) {
            continue;
        }
        LogRecord record;
        record.line.unixMs = static_cast<i64>(clients::numberOf(*object, "ts_ms"));
        record.line.vm = clients::textOf(*object, "vm");
        record.line.event = clients::textOf(*object, "event");
        record.line.details = formatDetails(*object);
        record.id = clients::textOf(*object, "id");
        record.endpoint = clients::textOf(*object, "endpoint");
        records.push_back(std::move(record));
    }
    return records;
}

} // namespace

std::vector<TimelineEntry> explainRequest(const std::string &id, std::istream &logs)
{
    const auto records = readRecords(logs);
    std::set<std::string> endpoints;
    std::set<std::string> vms;
    i64 first = INT64_MAX;
    i64 last = 0;
    for (const auto &record : records) {
        if (record.id == id) {
            endpoints.insert(record.endpoint);
            vms.insert(record.line.vm);
            first = std::min(first, record.line.unixMs);
            last = std::max(last, record.line.unixMs);
        }
    }
    std::vector<TimelineEntry> timeline;
    for (const auto &record : records) {
        const bool isOwn = record.id == id;
        const bool isInTimeWindow = first != INT64_MAX && record.line.unixMs >= first - ContextBeforeMs && record.line.unixMs <= last;
        const bool isOfEndpoint = record.id.empty() && !record.endpoint.empty() && endpoints.count(record.endpoint) > 0;
        const bool isOfDependency = vms.count(record.line.vm) > 0 && DependencyEvents.count(record.line.event) > 0;
        if (isOwn || (isInTimeWindow && (isOfEndpoint || isOfDependency))) {
            timeline.push_back(record.line);
            timeline.back().isContext = !isOwn;
        }
    }
    std::stable_sort(timeline.begin(), timeline.end(),
                     [](const TimelineEntry &left, const TimelineEntry &right) { return left.unixMs < right.unixMs; });
    return timeline;
}

} // namespace burdock::ops
