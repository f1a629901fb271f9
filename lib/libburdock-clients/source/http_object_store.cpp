#include <burdock/clients/http_object_store.hpp>
#include <burdock/clients/json_fields.hpp>
#include <burdock/wire/syntax.hpp>

#include <boost/json.hpp>
#include <charconv>

namespace burdock::clients {

namespace {

namespace http = runtime::http;
namespace json = boost::json;

/** Largest value that is read from the platform. */
constexpr http::BodyLimit ValueLimit{std::size_t{16} * 1024 * 1024, nullptr};
constexpr u16 Ok = 200;
constexpr u16 NotModified = 304;
constexpr u16 NotFound = 404;
constexpr u16 PreconditionFailed = 412;

std::string pathOf(const ObjectId &id)
{
    return "/v1/objects/" + wire::percentEncoded(id.kind) + "/" + wire::percentEncoded(id.name);
}

std::string waitQuery(u64 version, Duration wait)
{
    const auto waitMs = std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
    return "?after=" + std::to_string(version) + "&wait_ms=" + std::to_string(waitMs);
}

u64 versionOf(const http::Response &response)
{
    const auto text = response.header("Object-Version");
    u64 version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    return version;
}

ReadResult toReadResult(http::Exchange &&exchange)
{
    ReadResult result;
    if (exchange.progress != http::Progress::Answered) {
        return result;
    }
    switch (exchange.response.status) {
    case Ok:
        if (!exchange.isProvablyComplete()) {
            break;
        }
        result.status = StoreResult::Found;
        result.version = versionOf(exchange.response);
        result.value = std::move(exchange.response.body);
        break;
    case NotModified:
    case NotFound:
        result.status = StoreResult::Absent;
        break;
    default:
        break;
    }
    return result;
}

WriteResult toWriteResult(const http::Exchange &exchange)
{
    if (exchange.progress == http::Progress::NotSent) {
        return {StoreResult::Unreachable, 0};
    }
    if (exchange.progress == http::Progress::Answered && exchange.response.status == Ok) {
        return {StoreResult::Written, versionOf(exchange.response)};
    }
    if (exchange.progress == http::Progress::Answered && exchange.response.status == PreconditionFailed) {
        return {StoreResult::Conflict, 0};
    }
    // A proxy in front of the store may send a 5xx after the write took effect.
    return {StoreResult::Unknown, 0};
}

std::vector<membership::ListedVm> parseVms(const std::string &body)
{
    std::vector<membership::ListedVm> vms;
    boost::system::error_code error;
    const auto document = json::parse(body, error);
    if (error || !document.is_array()) {
        return vms;
    }
    for (const auto &item : document.get_array()) {
        if (const auto *object = item.if_object()) {
            vms.push_back({textOf(*object, "name"), textOf(*object, "zone"), textOf(*object, "pool"), textOf(*object, "link"),
                           textOf(*object, "admin"), textOf(*object, "state") == "leaving"});
        }
    }
    return vms;
}

} // namespace

HttpObjectStore::HttpObjectStore(const http::Address &address, Duration timeout)
    : m_address(address)
    , m_timeout(timeout)
{
}

boost::asio::awaitable<ReadResult> HttpObjectStore::read(const ObjectId &id)
{
    http::Request request;
    request.target = pathOf(id);
    co_return toReadResult(co_await http::exchange(m_address, request, m_timeout, ValueLimit));
}

boost::asio::awaitable<WriteResult> HttpObjectStore::create(const ObjectId &id, std::string_view value)
{
    co_return co_await write(id, value, "If-None-Match", "*");
}

boost::asio::awaitable<WriteResult> HttpObjectStore::replace(const ObjectId &id, std::string_view value, u64 version)
{
    co_return co_await write(id, value, "If-Match", std::to_string(version));
}

boost::asio::awaitable<WriteResult> HttpObjectStore::write(const ObjectId &id, std::string_view value, std::string_view header,
                                                           std::string condition)
{
    http::Request request;
    request.method = "PUT";
    request.target = pathOf(id);
    request.headers.emplace_back(std::string(header), std::move(condition));
    request.body = std::string(value);
    co_return toWriteResult(co_await http::exchange(m_address, request, m_timeout, ValueLimit));
}

boost::asio::awaitable<ReadResult> HttpObjectStore::watch(const ObjectId &id, u64 version, Duration wait)
{
    http::Request request;
    request.target = pathOf(id) + waitQuery(version, wait);
    co_return toReadResult(co_await http::exchange(m_address, request, wait + m_timeout, ValueLimit));
}

boost::asio::awaitable<VmList> HttpObjectStore::watchVms(u64 version, Duration wait)
{
    http::Request request;
    request.target = "/v1/vms" + waitQuery(version, wait);
    const auto result = toReadResult(co_await http::exchange(m_address, request, wait + m_timeout, ValueLimit));
    VmList list;
    list.status = result.status;
    list.version = result.version;
    if (result.status == StoreResult::Found) {
        list.vms = parseVms(result.value);
    }
    co_return list;
}

} // namespace burdock::clients
