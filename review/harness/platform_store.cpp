#include "platform_store.hpp"

#include <boost/json.hpp>
#include <cstdlib>

namespace review {

namespace {

namespace json = boost::json;

constexpr std::string_view Root = "/objects/";

std::string query(const std::string &target, const std::string &key)
{
    const auto question = target.find('?');
    auto position = question == std::string::npos ? question : target.find(key + "=", question);
    if (position == std::string::npos) {
        return {};
    }
    position += key.size() + 1;
    return target.substr(position, target.find('&', position) - position);
}

std::uint64_t numberOf(const json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    return value == nullptr || !value->is_number() ? 0 : value->to_number<std::uint64_t>();
}

template <typename Object>
std::string objectText(const std::string &name, const Object &object)
{
    return R"({"metadata":{"name":")" + name + R"(","revision":)" + std::to_string(object.revision) + R"(,"createRev":)"
        + std::to_string(object.createdRevision) + R"(,"finalizers":[],"deleting":false},"spec":)" + object.spec + R"(,"status":)"
        + object.status + "}";
}

std::string jsonResponse(int status, const std::string &body)
{
    return response(status, body, "Content-Type: application/json\r\n");
}

} // namespace

std::string PlatformStore::addDoor()
{
    const std::size_t door = m_doors.size();
    m_doors.push_back(std::make_unique<Listener>([this, door](const Message &request, Peer &peer) { return handle(request, peer, door); }));
    return m_doors.back()->address();
}

void PlatformStore::put(const std::string &kind, const std::string &name, const std::string &spec)
{
    const std::lock_guard lock(m_mutex);
    auto &object = m_objects[{kind, name}];
    if (object.spec != spec) {
        object.spec = spec;
        noteChange(kind, name, object, false);
    }
}

void PlatformStore::erase(const std::string &kind, const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    const auto found = m_objects.find({kind, name});
    if (found != m_objects.end()) {
        const auto object = found->second;
        noteChange(kind, name, object, true);
        m_objects.erase({kind, name});
    }
}

Next PlatformStore::handle(const Message &request, Peer &peer, std::size_t door)
{
    const auto target = request.target();
    const auto path = target.substr(0, target.find('?'));
    if (path.rfind(Root, 0) != 0) {
        peer.send(jsonResponse(404, "{}"));
        return Next::KeepOpen;
    }
    const auto slash = path.find('/', Root.size());
    const auto kind = path.substr(Root.size(), slash - Root.size());
    const auto name = slash == std::string::npos ? std::string() : path.substr(slash + 1);
    if (request.method() == "GET") {
        const auto since = query(target, "watch");
        const auto wait = Milliseconds(std::strtoul(query(target, "waitMs").c_str(), nullptr, 10));
        peer.send(jsonResponse(200, since.empty() ? list(kind) : watch(kind, std::strtoull(since.c_str(), nullptr, 10), wait)));
        return Next::KeepOpen;
    }
    StoreWrite done;
    done.door = door;
    const auto answer = write(request, kind, name, done);
    const bool isAnswered = done.method.empty() || !onWrite || onWrite(done);
    if (!isAnswered) {
        return Next::StaySilent;
    }
    peer.send(answer);
    return Next::KeepOpen;
}

std::string PlatformStore::list(const std::string &kind)
{
    const std::lock_guard lock(m_mutex);
    std::string items;
    for (const auto &[key, object] : m_objects) {
        if (key.first == kind) {
            items += (items.empty() ? "" : ",") + objectText(key.second, object);
        }
    }
    return R"({"items":[)" + items + R"(],"more":false,"storeRevision":)" + std::to_string(m_revision) + "}";
}

std::string PlatformStore::watch(const std::string &kind, std::uint64_t since, Milliseconds wait)
{
    std::unique_lock lock(m_mutex);
    std::string events;
    const auto collect = [&] {
        for (const auto &change : m_changes) {
            if (change.kind == kind && change.revision > since) {
                events += (events.empty() ? "" : ",") + change.text;
            }
        }
        return !events.empty();
    };
    m_changed.wait_for(lock, wait, collect);
    return R"({"events":[)" + events + R"(],"storeRevision":)" + std::to_string(m_revision) + "}";
}

std::string PlatformStore::write(const Message &request, const std::string &kind, const std::string &name, StoreWrite &done)
{
    const std::lock_guard lock(m_mutex);
    if (request.method() == "DELETE") {
        const auto found = m_objects.find({kind, name});
        if (found == m_objects.end()) {
            return jsonResponse(404, "{}");
        }
        const auto object = found->second;
        noteChange(kind, name, object, true);
        m_objects.erase({kind, name});
        done = {"DELETE", kind, name, "", done.door};
        return jsonResponse(200, "{}");
    }
    const auto body = json::parse(request.body).as_object();
    const auto &metadata = body.at("metadata").as_object();
    const auto key = name.empty() ? std::string(metadata.at("name").as_string()) : name;
    const auto found = m_objects.find({kind, key});
    const bool isCreate = request.method() == "POST";
    if (!isCreate && found == m_objects.end()) {
        return jsonResponse(404, "{}");
    }
    const bool isStale = !isCreate && metadata.contains("revision") && numberOf(metadata, "revision") != found->second.revision;
    if (isStale || (isCreate && found != m_objects.end())) {
        return jsonResponse(409, objectText(key, found->second));
    }
    auto &object = m_objects[{kind, key}];
    const auto spec = json::serialize(body.at("spec"));
    if (object.spec != spec) {
        object.spec = spec;
        noteChange(kind, key, object, false);
    }
    done = {request.method(), kind, key, spec, done.door};
    return jsonResponse(isCreate ? 201 : 200, objectText(key, object));
}

void PlatformStore::noteChange(const std::string &kind, const std::string &name, const Object &object, bool isDeleted)
{
    auto &stored = m_objects[{kind, name}];
    stored = object;
    stored.revision = ++m_revision;
    stored.createdRevision = stored.createdRevision == 0 ? m_revision : stored.createdRevision;
    m_changes.push_back(
        {m_revision, kind,
         std::string(R"({"deleted":)") + (isDeleted ? "true" : "false") + R"(,"object":)" + objectText(name, stored) + "}"});
    m_changed.notify_all();
}

} // namespace review
