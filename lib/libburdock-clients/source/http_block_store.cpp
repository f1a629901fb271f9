#include <burdock/clients/http_block_store.hpp>

#include <algorithm>
#include <cstring>

namespace burdock::clients {

namespace {

namespace http = runtime::http;

constexpr http::BodyLimit BlockLimit{std::size_t{16} * 1024 * 1024, nullptr};
constexpr u16 Ok = 200;
constexpr u16 InsufficientStorage = 507;
constexpr std::size_t LengthFieldBytes = 8;
constexpr std::size_t FrameHeaderBytes = sizeof(cache::BlockKey) + LengthFieldBytes + sizeof(hash::Digest256);
constexpr std::size_t UploadNameBytes = 16;

std::string encodeLength(u64 length)
{
    std::string out;
    for (std::size_t i = 0; i < LengthFieldBytes; ++i) {
        out.push_back(static_cast<char>(length >> (8 * i)));
    }
    return out;
}

std::string frameHeader(const cache::BlockKey &key, std::string_view payload)
{
    const auto checksum = hash::digest256({hash::asBytes(key), payload});
    return std::string(hash::asBytes(key)) + encodeLength(payload.size()) + std::string(hash::asBytes(checksum));
}

} // namespace

std::string frameBlock(const cache::BlockKey &key, std::string_view payload)
{
    return frameHeader(key, payload) + std::string(payload);
}

std::optional<std::string> unframeBlock(const cache::BlockKey &key, std::string_view frame)
{
    if (frame.size() < FrameHeaderBytes) {
        return std::nullopt;
    }
    const auto payload = frame.substr(FrameHeaderBytes);
    if (frame.substr(0, FrameHeaderBytes) != frameHeader(key, payload)) {
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
    const auto uploadName = hash::toHex(m_random.bytes(UploadNameBytes));
    http::Request upload;
    upload.method = "PUT";
    upload.target = "/parts/" + uploadName;
    upload.body = frameBlock(key, payload);
    const auto uploaded = co_await http::exchange(m_address, upload, m_timeout);
    if (uploaded.progress == http::Progress::Answered && uploaded.response.status == InsufficientStorage) {
        co_return PutResult::Full;
    }
    if (uploaded.progress != http::Progress::Answered || uploaded.response.status != Ok) {
        co_return PutResult::Failed;
    }
    http::Request publish;
    publish.method = "POST";
    publish.target = "/blocks/" + hash::toHex(hash::asBytes(key)) + "?part=" + uploadName;
    const auto published = co_await http::exchange(m_address, publish, m_timeout);
    const bool isStored = published.progress == http::Progress::Answered && published.response.status == Ok;
    co_return isStored ? PutResult::Stored : PutResult::Failed;
}

boost::asio::awaitable<std::optional<std::string>> HttpBlockStore::get(const cache::BlockKey &key)
{
    http::Request request;
    request.target = "/blocks/" + hash::toHex(hash::asBytes(key));
    const auto exchange = co_await http::exchange(m_address, request, m_timeout, BlockLimit);
    if (exchange.progress != http::Progress::Answered || exchange.response.status != Ok) {
        co_return std::nullopt;
    }
    co_return unframeBlock(key, exchange.response.body);
}

} // namespace burdock::clients
