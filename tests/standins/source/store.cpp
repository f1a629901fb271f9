#include <standins/store.hpp>

namespace standins {

namespace {

using runtime::http::Response;

Response status(u16 code)
{
    Response response;
    response.status = code;
    return response;
}

std::string lastSegment(std::string_view path)
{
    return std::string(path.substr(path.rfind('/') + 1));
}

} // namespace

Store::Store(boost::asio::io_context &workers, const std::string &address)
    : m_server(workers, runtime::http::parseAddress(address), {}, *this)
{
}

std::string Store::address() const
{
    return "127.0.0.1:" + std::to_string(m_server.port());
}

void Store::setMode(StoreMode mode)
{
    m_mode = mode;
}

void Store::clear()
{
    const std::lock_guard lock(m_mutex);
    m_parts.clear();
    m_blocks.clear();
}

std::size_t Store::blocks() const
{
    const std::lock_guard lock(m_mutex);
    return m_blocks.size();
}

u32 Store::reads() const
{
    const std::lock_guard lock(m_mutex);
    return m_reads;
}

boost::asio::awaitable<void> Store::handle(const runtime::http::Request &request, runtime::http::Reply &reply)
{
    if (m_mode == StoreMode::Down) {
        co_return;
    }
    const auto response = respond(request);
    co_await reply.send(response);
}

Response Store::respond(const runtime::http::Request &request)
{
    const auto name = lastSegment(request.path());
    const std::lock_guard lock(m_mutex);
    if (request.method == "PUT") {
        if (m_mode == StoreMode::Full) {
            return status(507);
        }
        m_parts[name] = request.body;
        return status(200);
    }
    if (request.method == "POST") {
        auto part = m_parts.extract(std::string(request.query("part")));
        if (part.empty()) {
            return status(404);
        }
        m_blocks[name] = std::move(part.mapped());
        return status(200);
    }
    return read(name);
}

Response Store::read(const std::string &key)
{
    ++m_reads;
    const auto found = m_blocks.find(key);
    if (found == m_blocks.end()) {
        return status(404);
    }
    auto response = status(200);
    response.body = found->second;
    if (m_mode == StoreMode::FlipBits) {
        response.body.back() ^= 1;
    } else if (m_mode == StoreMode::Truncate) {
        response.body.resize(response.body.size() / 2);
    } else if (m_mode == StoreMode::WrongBlock) {
        const auto next = std::next(found) == m_blocks.end() ? m_blocks.begin() : std::next(found);
        response.body = next->second;
    }
    return response;
}

} // namespace standins
