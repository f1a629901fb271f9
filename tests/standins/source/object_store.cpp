#include <standins/object_store.hpp>

#include <burdock/clients/json_fields.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <array>
#include <boost/json.hpp>
#include <map>
#include <optional>

namespace standins {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

constexpr Duration PollInterval = std::chrono::milliseconds(5);

template <typename Object>
json::object objectJson(const std::string &name, const Object &object)
{
    return {{"metadata",
             {{"name", name},
              {"revision", object.revision},
              {"createRev", object.createdRevision},
              {"finalizers", json::array()},
              {"deleting", false}}},
            {"spec", object.spec},
            {"status", object.status}};
}

http::Response jsonResponse(u16 status, const json::value &body)
{
    http::Response response;
    response.status = status;
    response.body = json::serialize(body);
    return response;
}

u64 parseNumber(std::string_view text)
{
    return text.empty() ? 0 : std::stoull(std::string(text));
}

/** @brief A request's kind, name and query, decoded. */
struct Target
{
    std::string kind;
    std::string name; ///< empty for none
    std::map<std::string, std::string> query;
};

// Servers differ in what they make of bytes that should have been encoded, so none are accepted.
std::optional<std::string> decode(std::string_view text)
{
    const auto decoded = burdock::wire::percentDecoded(text);
    return decoded && burdock::wire::percentEncoded(*decoded) == text ? decoded : std::nullopt;
}

bool readQuery(std::string_view text, std::map<std::string, std::string> &query)
{
    constexpr std::array<std::string_view, 4> Known{"after", "staleOk", "watch", "waitMs"};
    while (!text.empty()) {
        const auto pair = text.substr(0, text.find('&'));
        const auto equals = pair.find('=');
        const auto name = pair.substr(0, equals);
        const auto value = equals == std::string_view::npos ? std::nullopt : decode(pair.substr(equals + 1));
        if (!value || std::find(Known.begin(), Known.end(), name) == Known.end() || !query.emplace(name, *value).second) {
            return false;
        }
        text.remove_prefix(std::min(text.size(), pair.size() + 1));
    }
    return true;
}

// The target is /objects/KIND or /objects/KIND/NAME, with a query.
std::optional<Target> readTarget(std::string_view text)
{
    constexpr std::string_view Prefix = "/objects/";
    const auto mark = std::min(text.find('?'), text.size());
    const auto path = text.substr(0, mark);
    if (!path.starts_with(Prefix)) {
        return std::nullopt;
    }
    const auto rest = path.substr(Prefix.size());
    const auto slash = std::min(rest.find('/'), rest.size());
    const auto kind = decode(rest.substr(0, slash));
    const auto name = decode(rest.substr(std::min(slash + 1, rest.size())));
    Target target;
    if (!kind || !name || !readQuery(text.substr(std::min(mark + 1, text.size())), target.query)) {
        return std::nullopt;
    }
    target.kind = *kind;
    target.name = *name;
    return target;
}

} // namespace

ObjectStore::ObjectStore(boost::asio::io_context &workers, const std::string &address)
    : m_server(workers, http::parseAddress(address), {}, *this)
{
}

std::string ObjectStore::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void ObjectStore::setMode(ObjectStoreMode mode)
{
    m_mode = mode;
}

void ObjectStore::withholdResponses(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_withheldKind = kind;
}

void ObjectStore::dropWriteResponses(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_unansweredKind = kind;
}

void ObjectStore::put(const std::string &kind, const std::string &name, const json::value &spec)
{
    const std::lock_guard lock(m_mutex);
    noteChange(kind, name, false, spec);
}

void ObjectStore::putText(const std::string &kind, const std::string &name, const std::string &specText)
{
    const std::lock_guard lock(m_mutex);
    const json::value placeholder(json::string("text of " + kind + "/" + name));
    m_specTexts[json::serialize(placeholder)] = specText;
    noteChange(kind, name, false, placeholder);
}

http::Response ObjectStore::withSpecTexts(http::Response response) const
{
    for (const auto &[placeholder, text] : m_specTexts) {
        for (auto at = response.body.find(placeholder); at != std::string::npos; at = response.body.find(placeholder, at + text.size())) {
            response.body.replace(at, placeholder.size(), text);
        }
    }
    return response;
}

void ObjectStore::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    noteChange(kind, name, true, nullptr);
}

json::value ObjectStore::spec(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    return found == m_objects.end() ? json::value() : found->second.spec;
}

json::value ObjectStore::status(const std::string &kind, const std::string &name) const
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    return found == m_objects.end() ? json::value() : found->second.status;
}

std::size_t ObjectStore::count(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    return static_cast<std::size_t>(
        std::count_if(m_objects.begin(), m_objects.end(), [&kind](const auto &entry) { return entry.first.first == kind; }));
}

boost::asio::awaitable<void> ObjectStore::handle(const http::Request &request, http::Reply &reply)
{
    const auto mode = m_mode.load();
    if (mode == ObjectStoreMode::Down) {
        co_return;
    }
    if (mode == ObjectStoreMode::Unavailable) {
        const auto unavailable = jsonResponse(503, json::object());
        co_await reply.send(unavailable);
        co_return;
    }
    const auto target = readTarget(request.target);
    if (!target) {
        const auto malformed = jsonResponse(400, json::object());
        co_await reply.send(malformed);
        co_return;
    }
    const auto &kind = target->kind;
    const auto &name = target->name;
    const auto parameter = [&target](const std::string &key) {
        const auto found = target->query.find(key);
        return found == target->query.end() ? std::string() : found->second;
    };
    while (isWithheld(kind)) {
        co_await runtime::sleepFor(PollInterval);
    }
    http::Response response;
    m_reads += request.method == "GET" ? 1 : 0;
    if (request.method == "GET" && !parameter("watch").empty()) {
        const auto revision = parseNumber(parameter("watch"));
        const Duration wait = std::chrono::milliseconds(parseNumber(parameter("waitMs")));
        const bool isWatchCut = isCut(kind);
        m_watchesCut += isWatchCut ? 1 : 0;
        response = co_await watch(kind, revision, isWatchCut ? Duration::zero() : wait);
    } else if (request.method == "GET") {
        response = list(kind, parameter("after"));
    } else {
        response = request.method == "DELETE" ? remove(kind, name) : write(request, kind, name);
        if (mode == ObjectStoreMode::DropsWriteResponses || isUnanswered(kind)) {
            co_return;
        }
    }
    while (isWithheld(kind)) {
        co_await runtime::sleepFor(PollInterval);
    }
    if (m_mode != ObjectStoreMode::Down) {
        co_await reply.send(response);
    }
}

http::Response ObjectStore::list(const std::string &kind, const std::string &after) const
{
    const std::lock_guard lock(m_mutex);
    json::array items;
    bool hasMore = kind == m_repeatedKind;
    const auto begin = after.empty() || kind == m_repeatedKind ? m_objects.lower_bound({kind, {}}) : m_objects.upper_bound({kind, after});
    for (auto i = begin; i != m_objects.end() && i->first.first == kind; ++i) {
        if (items.size() >= m_pageSize) {
            hasMore = true;
            break;
        }
        items.push_back(objectJson(i->first.second, i->second));
    }
    return withSpecTexts(jsonResponse(200, {{"items", items}, {"more", hasMore}, {"storeRevision", m_revision}}));
}

bool ObjectStore::isCut(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_cutKind == kind;
}

void ObjectStore::setPageSize(std::size_t objects)
{
    const std::lock_guard lock(m_mutex);
    m_pageSize = objects;
}

void ObjectStore::repeatPages(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_repeatedKind = kind;
}

void ObjectStore::cutWatches(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    m_cutKind = kind;
}

u64 ObjectStore::watchesCut() const
{
    return m_watchesCut;
}

u64 ObjectStore::reads() const
{
    return m_reads;
}

boost::asio::awaitable<http::Response> ObjectStore::watch(std::string kind, u64 revision, Duration wait)
{
    const auto deadline = std::chrono::steady_clock::now() + wait;
    const auto shouldWait = [&] {
        return m_mode == ObjectStoreMode::SilentWatches || (m_mode == ObjectStoreMode::Up && !hasChanges(kind, revision));
    };
    while (std::chrono::steady_clock::now() < deadline && shouldWait()) {
        co_await runtime::sleepFor(PollInterval);
    }
    if (m_mode == ObjectStoreMode::SilentWatches) {
        co_return jsonResponse(200, {{"events", json::array()}, {"storeRevision", revision}});
    }
    if (m_mode == ObjectStoreMode::HistoryExpired) {
        co_return jsonResponse(410, json::object());
    }
    co_return changesSince(kind, revision);
}

bool ObjectStore::isWithheld(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_withheldKind == kind;
}

bool ObjectStore::isUnanswered(const std::string &kind) const
{
    const std::lock_guard lock(m_mutex);
    return m_unansweredKind == kind;
}

bool ObjectStore::hasChanges(const std::string &kind, u64 revision) const
{
    const std::lock_guard lock(m_mutex);
    return std::any_of(m_changes.begin(), m_changes.end(),
                       [&](const Change &change) { return change.kind == kind && change.revision > revision; });
}

http::Response ObjectStore::changesSince(const std::string &kind, u64 revision) const
{
    const std::lock_guard lock(m_mutex);
    json::array events;
    for (const auto &change : m_changes) {
        if (change.kind == kind && change.revision > revision) {
            events.push_back({{"deleted", change.isDeleted}, {"object", objectJson(change.name, change.object)}});
        }
    }
    return withSpecTexts(jsonResponse(200, {{"events", events}, {"storeRevision", m_revision}}));
}

http::Response ObjectStore::write(const http::Request &request, const std::string &kind, const std::string &pathName)
{
    const auto body = json::parse(request.body).as_object();
    const auto &metadata = clients::objectOf(body, "metadata");
    const auto name = clients::textOf(metadata, "name");
    if (!pathName.empty() && pathName != name) {
        return jsonResponse(400, json::object());
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    const bool exists = found != m_objects.end();
    if (request.method == "PUT" && !exists) {
        return jsonResponse(404, json::object());
    }
    const bool isCreate = request.method == "POST";
    const bool isStale = exists && !isCreate && clients::numberOf(metadata, "revision") != found->second.revision;
    if ((isCreate && exists) || isStale) {
        return jsonResponse(409, objectJson(name, found->second));
    }
    const auto *status = body.if_contains("status");
    noteChange(kind, name, false, body.at("spec"), status == nullptr ? json::value() : *status);
    return jsonResponse(200, objectJson(name, m_objects.at({kind, name})));
}

http::Response ObjectStore::remove(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    if (m_objects.count({kind, name}) == 0) {
        return jsonResponse(404, json::object());
    }
    noteChange(kind, name, true, nullptr);
    return jsonResponse(200, json::object());
}

void ObjectStore::noteChange(const std::string &kind, const std::string &name, bool isDeleted, const json::value &spec,
                             const json::value &status)
{
    ++m_revision;
    const auto known = m_objects.find({kind, name});
    const Object object{spec, status, m_revision, known == m_objects.end() ? m_revision : known->second.createdRevision};
    m_changes.push_back({m_revision, kind, name, isDeleted, object});
    if (isDeleted) {
        m_objects.erase({kind, name});
    } else {
        m_objects[{kind, name}] = object;
    }
}

} // namespace standins
