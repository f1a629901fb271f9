#include <burdock/clients/http_block_store.hpp>

#include <algorithm>
#include <cstring>

namespace burdock::clients {

namespace {

namespace http = runtime::http;

constexpr u16 Ok = 200;
constexpr u16 InsufficientStorage = 507;
constexpr std::size_t LengthBytes = 8;
constexpr std::size_t HeaderBytes = sizeof(cache::BlockKey) + LengthBytes + sizeof(hash::Digest256);
constexpr std::size_t PartNameBytes = 16;

std::string lengthField(u64 length)
{
    std::string out;
    for (std::size_t i = 0; i < LengthBytes; ++i) {
        out.push_back(static_cast<char>(length >> (8 * i)));
    }
    return out;
}

std::string headerFor(const cache::BlockKey &key, std::string_view payload)
{
    const auto checksum = hash::digest256({hash::asBytes(key), payload});
    return std::string(hash::asBytes(key)) + lengthField(payload.size()) + std::string(hash::asBytes(checksum));
}

} // namespace

std::string frameBlock(const cache::BlockKey &key, std::string_view payload)
{
    return headerFor(key, payload) + std::string(payload);
}

std::optional<std::string> unframeBlock(const cache::BlockKey &key, std::string_view frame)
{
    if (frame.size() < HeaderBytes) {
        return std::nullopt;
    }
    const auto payload = frame.substr(HeaderBytes);
    if (frame.substr(0, HeaderBytes) != headerFor(key, payload)) {
        return std::nullopt;
    }
    return std::string(payload);
}

HttpBlockStore::HttpBlockStore(const http::Address &address, Duration timeout, runtime::RandomSource &random)
    : m_address(address)
    , m_timeout(timeout)
    , m_random(random)
{
}

boost::asio::awaitable<PutResult> HttpBlockStore::put(const cache::BlockKey &key, std::string_view payload)
{
    const auto part = hash::toHex(m_random.bytes(PartNameBytes));
    http::Request write;
    write.method = "PUT";
    write.target = "/parts/" + part;
    write.body = frameBlock(key, payload);
    const auto written = co_await http::exchange(m_address, write, m_timeout);
    if (written.progress == http::Progress::Answered && written.response.status == InsufficientStorage) {
        co_return PutResult::Full;
    }
    if (written.progress != http::Progress::Answered || written.response.status != Ok) {
        co_return PutResult::Failed;
    }
    http::Request publish;
    publish.method = "POST";
    publish.target = "/blocks/" + hash::toHex(hash::asBytes(key)) + "?part=" + part;
    const auto published = co_await http::exchange(m_address, publish, m_timeout);
    const bool isKept = published.progress == http::Progress::Answered && published.response.status == Ok;
    co_return isKept ? PutResult::Stored : PutResult::Failed;
}

boost::asio::awaitable<std::optional<std::string>> HttpBlockStore::get(const cache::BlockKey &key)
{
    http::Request request;
    request.target = "/blocks/" + hash::toHex(hash::asBytes(key));
    const auto exchange = co_await http::exchange(m_address, request, m_timeout);
    if (exchange.progress != http::Progress::Answered || exchange.response.status != Ok) {
        co_return std::nullopt;
    }
    co_return unframeBlock(key, exchange.response.body);
}

} // namespace burdock::clients
