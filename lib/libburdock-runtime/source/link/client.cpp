#include <burdock/runtime/link/client.hpp>

#include "context_impl.hpp"

#include <algorithm>
#include <atomic>
#include <boost/asio/dispatch.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <mutex>

namespace burdock::runtime::link {

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int MinReconnectIntervalMs = 50;
constexpr int MaxReconnectIntervalMs = 1000;

bool isRunRequestFor(const schema::LinkMessage &message, const schema::RunRef &ref)
{
    const auto &messageRef = message.run_request().ref();
    return message.has_run_request() && messageRef.run_id() == ref.run_id() && messageRef.attempt() == ref.attempt();
}

} // namespace

class Client::Impl : public std::enable_shared_from_this<Client::Impl>
{
public:
    Impl(Context &context, const std::string &peer, const http::Address &address, const ClientOptions &options, ClientHandler &handler)
        : m_context(context.impl())
        , m_peer(peer)
        , m_url("tcp://" + address.ip + ":" + std::to_string(address.port))
        , m_options(options)
        , m_handler(handler)
        , m_strand(m_context.makeStrand())
        , m_timer(m_strand)
        , m_schedule(options.heartbeat)
    {
    }

    void start()
    {
        // Posted, not dispatched: the caller may hold locks that the handler takes.
        boost::asio::post(m_strand, [self = shared_from_this()] {
            self->openSocket();
            self->runHeartbeat();
        });
    }

    void send(const schema::LinkMessage &message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_schedule.noteWork(now())) {
            boost::asio::post(m_strand, [self = shared_from_this()] { self->runHeartbeat(); });
        }
        if (m_isEstablished) {
            m_socket->sendMessage(message.SerializeAsString());
            return;
        }
        m_unsentMessages.push_back(message);
    }

    bool cancelUnsent(const schema::RunRef &ref)
    {
        const std::lock_guard lock(m_mutex);
        return std::erase_if(m_unsentMessages, [&ref](const auto &message) { return isRunRequestFor(message, ref); }) > 0;
    }

    void sendHeartbeatNow()
    {
        boost::asio::post(m_strand, [self = shared_from_this()] {
            if (!self->m_isClosed) {
                self->sendHeartbeat();
            }
        });
    }

    [[nodiscard]] u64 peerBootId() const
    {
        return m_bootId;
    }

    void close()
    {
        boost::asio::dispatch(m_strand, [self = shared_from_this()] {
            self->m_isClosed = true;
            self->m_timer.cancel();
            self->dropSocket();
        });
    }

private:
    void openSocket()
    {
        const u64 generation = ++m_generation;
        const auto receive = [weak = weak_from_this(), generation](detail::Frames frames) {
            if (const auto self = weak.lock()) {
                self->handleReceived(generation, std::move(frames));
            }
        };
        auto socket = std::make_shared<detail::Socket>(m_strand, m_context.zeroMq(), zmq::socket_type::dealer, receive);
        m_context.secureAsClient(socket->raw());
        socket->raw().set(zmq::sockopt::reconnect_ivl, MinReconnectIntervalMs);
        socket->raw().set(zmq::sockopt::reconnect_ivl_max, MaxReconnectIntervalMs);
        socket->raw().connect(m_url);
        socket->start();
        m_linkId = 0;
        const std::lock_guard lock(m_mutex);
        m_schedule.noteOpened(now());
        m_isEstablished = false;
        m_socket = std::move(socket);
    }

    void dropSocket()
    {
        const std::lock_guard lock(m_mutex);
        m_isEstablished = false;
        if (m_socket) {
            m_socket->close();
        }
    }

    void runHeartbeat()
    {
        if (m_isClosed) {
            return;
        }
        const auto step = nextStep();
        if (step.isSilent) {
            replaceSocket();
        }
        if (step.sendsHeartbeat || step.isSilent) {
            sendHeartbeat();
        }
        m_timer.expires_after(step.next);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->runHeartbeat();
            }
        });
    }

    void sendHeartbeat()
    {
        schema::LinkMessage message;
        *message.mutable_heartbeat() = m_handler.heartbeat(m_peer);
        m_socket->sendMessage(message.SerializeAsString());
    }

    [[nodiscard]] membership::HeartbeatSchedule::Step nextStep()
    {
        const std::lock_guard lock(m_mutex);
        return m_schedule.step(now());
    }

    [[nodiscard]] static TimePoint now()
    {
        return std::chrono::time_point_cast<Duration>(SteadyClock::now());
    }

    // A device between the peers may lose the state of a connection, which then carries no data although TCP reports no error. New
    // connections still work, so missed heartbeats cause a new socket.
    void replaceSocket()
    {
        dropSocket();
        openSocket();
        ++m_replacements;
        m_handler.onHealth(
            m_peer, m_replacements >= m_options.replacementsUntilDead ? membership::LinkHealth::Dead : membership::LinkHealth::Suspect);
        m_handler.onLinkReplaced(m_peer);
    }

    void handleReceived(u64 generation, detail::Frames frames)
    {
        schema::LinkMessage message;
        if (generation != m_generation || !message.ParseFromString(detail::joinMessage(frames, 0))) {
            return;
        }
        {
            const std::lock_guard lock(m_mutex);
            m_schedule.noteHeard(now());
        }
        m_replacements = 0;
        if (message.has_heartbeat()) {
            m_bootId = message.heartbeat().boot_id();
            establish();
            noteConnection(message.heartbeat().link_id());
        }
        m_handler.onMessage(m_peer, message);
    }

    // A connection may be lost and re-established between two heartbeats; responses then go to a peer id that no longer exists.
    // Each connection has a new link id at the peer, so a changed link id reveals this.
    void noteConnection(u64 linkId)
    {
        const bool isNewConnection = m_linkId != 0 && m_linkId != linkId;
        m_linkId = linkId;
        if (isNewConnection) {
            m_handler.onLinkReplaced(m_peer);
        }
    }

    void establish()
    {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isEstablished) {
                return;
            }
            m_isEstablished = true;
            for (const auto &message : m_unsentMessages) {
                m_socket->sendMessage(message.SerializeAsString());
            }
            m_unsentMessages.clear();
        }
        m_handler.onHealth(m_peer, membership::LinkHealth::Alive);
    }

    detail::ContextImpl &m_context;
    std::string m_peer;
    std::string m_url;
    ClientOptions m_options;
    ClientHandler &m_handler;
    detail::Socket::Strand m_strand;
    boost::asio::steady_timer m_timer;
    u64 m_generation = 0;
    u32 m_replacements = 0;
    u64 m_linkId = 0; // the peer's id of the current connection; 0 until the first heartbeat
    bool m_isClosed = false;
    std::atomic<u64> m_bootId{0};

    std::mutex m_mutex; // guards the members below
    membership::HeartbeatSchedule m_schedule;
    bool m_isEstablished = false;
    std::shared_ptr<detail::Socket> m_socket;
    std::deque<schema::LinkMessage> m_unsentMessages;
};

Client::Client(Context &context, const std::string &peer, const http::Address &address, const ClientOptions &options,
               ClientHandler &handler)
    : m_impl(std::make_shared<Impl>(context, peer, address, options, handler))
{
    m_impl->start();
}

Client::~Client()
{
    m_impl->close();
}

void Client::send(const schema::LinkMessage &message)
{
    m_impl->send(message);
}

bool Client::cancelUnsent(const schema::RunRef &ref)
{
    return m_impl->cancelUnsent(ref);
}

void Client::sendHeartbeatNow()
{
    m_impl->sendHeartbeatNow();
}

u64 Client::peerBootId() const
{
    return m_impl->peerBootId();
}

void Client::close()
{
    m_impl->close();
}

} // namespace burdock::runtime::link
