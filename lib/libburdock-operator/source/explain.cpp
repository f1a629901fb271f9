#include <burdock/ops/explain.hpp>

#include <burdock/clients/json_fields.hpp>

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace burdock::ops {

namespace {

namespace json = boost::json;

/** How long before a request began lines of its surroundings are of interest. */
constexpr i64 ContextBeforeMs = 3000;

const std::set<std::string, std::less<>> DependencyEvents{"store_lost", "store_regained",   "configuration_taken", "zone_out",
                                                          "draining",   "cache_store_lost", "duty_lost",           "duty_gained",
                                                          "started",    "weights_named"};
const std::set<std::string, std::less<>> CommonFields{"ts_ms", "vm", "event", "level", "id"};

struct Entry
{
    StoryLine line;
    std::string id;
    std::string endpoint;
};

std::string detailsOf(const json::object &object)
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

std::vector<Entry> readEntries(std::istream &logs)
{
    std::vector<Entry> entries;
    for (std::string text; std::getline(logs, text);) {
        const auto begin = text.find('{');
        boost::system::error_code error;
        const auto value = begin == std::string::npos ? json::value() : json::parse(std::string_view(text).substr(begin), error);
        const auto *object = error ? nullptr : value.if_object();
        if (object == nullptr || clients::textOf(*object, "event").empty()) {
            continue;
        }
        Entry entry;
        entry.line.unixMs = static_cast<i64>(clients::numberOf(*object, "ts_ms"));
        entry.line.vm = clients::textOf(*object, "vm");
        entry.line.event = clients::textOf(*object, "event");
        entry.line.details = detailsOf(*object);
        entry.id = clients::textOf(*object, "id");
        entry.endpoint = clients::textOf(*object, "endpoint");
        entries.push_back(std::move(entry));
    }
    return entries;
}

} // namespace

std::vector<StoryLine> explainRequest(const std::string &id, std::istream &logs)
{
    const auto entries = readEntries(logs);
    std::set<std::string> endpoints;
    std::set<std::string> vms;
    i64 first = INT64_MAX;
    i64 last = 0;
    for (const auto &entry : entries) {
        if (entry.id == id) {
            endpoints.insert(entry.endpoint);
            vms.insert(entry.line.vm);
            first = std::min(first, entry.line.unixMs);
            last = std::max(last, entry.line.unixMs);
        }
    }
    std::vector<StoryLine> story;
    for (const auto &entry : entries) {
        const bool isOwn = entry.id == id;
        const bool isNear = first != INT64_MAX && entry.line.unixMs >= first - ContextBeforeMs && entry.line.unixMs <= last;
        const bool isOfEndpoint = entry.id.empty() && !entry.endpoint.empty() && endpoints.count(entry.endpoint) > 0;
        const bool isOfDependency = vms.count(entry.line.vm) > 0 && DependencyEvents.count(entry.line.event) > 0;
        if (isOwn || (isNear && (isOfEndpoint || isOfDependency))) {
            story.push_back(entry.line);
            story.back().isContext = !isOwn;
        }
    }
    std::stable_sort(story.begin(), story.end(), [](const StoryLine &left, const StoryLine &right) { return left.unixMs < right.unixMs; });
    return story;
}

} // namespace burdock::ops
