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

constexpr int ReconnectMs = 50;
constexpr int ReconnectMaxMs = 1000;

bool isRequestOf(const schema::LinkMessage &message, const schema::RunRef &ref)
{
    const auto &own = message.run_request().ref();
    return message.has_run_request() && own.run_id() == ref.run_id() && own.attempt() == ref.attempt();
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
            self->beat();
        });
    }

    void send(const schema::LinkMessage &message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_schedule.noteWork(now())) {
            boost::asio::post(m_strand, [self = shared_from_this()] { self->beat(); });
        }
        if (m_isEstablished) {
            m_socket->send({message.SerializeAsString()});
            return;
        }
        m_waiting.push_back(message);
    }

    bool cancelUnsent(const schema::RunRef &ref)
    {
        const std::lock_guard lock(m_mutex);
        return std::erase_if(m_waiting, [&ref](const auto &message) { return isRequestOf(message, ref); }) > 0;
    }

    void sendHeartbeatNow()
    {
        boost::asio::post(m_strand, [self = shared_from_this()] {
            if (!self->m_isClosed) {
                self->sendBeat();
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
                self->received(generation, std::move(frames));
            }
        };
        auto socket = std::make_shared<detail::Socket>(m_strand, m_context.zeroMq(), zmq::socket_type::dealer, receive);
        m_context.secureAsClient(socket->raw());
        socket->raw().set(zmq::sockopt::reconnect_ivl, ReconnectMs);
        socket->raw().set(zmq::sockopt::reconnect_ivl_max, ReconnectMaxMs);
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

    void beat()
    {
        if (m_isClosed) {
            return;
        }
        const auto step = nextStep();
        if (step.isSilent) {
            replaceSocket();
        }
        if (step.sendsHeartbeat || step.isSilent) {
            sendBeat();
        }
        m_timer.expires_after(step.next);
        m_timer.async_wait([self = shared_from_this()](const boost::system::error_code &error) {
            if (!error) {
                self->beat();
            }
        });
    }

    void sendBeat()
    {
        schema::LinkMessage message;
        *message.mutable_heartbeat() = m_handler.heartbeat(m_peer);
        m_socket->send({message.SerializeAsString()});
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

    // Guards against a connection that went silent for good because something between the two ends lost track of it: it shows
    // as missed heartbeats while TCP reports nothing. A new socket holds because new connections work.
    void replaceSocket()
    {
        dropSocket();
        openSocket();
        ++m_replacements;
        m_handler.onHealth(
            m_peer, m_replacements >= m_options.replacementsUntilDead ? membership::LinkHealth::Dead : membership::LinkHealth::Suspect);
        m_handler.onLinkReplaced(m_peer);
    }

    void received(u64 generation, detail::Frames frames)
    {
        schema::LinkMessage message;
        if (generation != m_generation || frames.size() != 1 || !message.ParseFromString(frames.front())) {
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

    // Guards against a connection that was cut and came back between two beats: it shows as answers that go to a peer name that
    // no longer exists. Comparing the name that the peer knows this link by holds because each connection gets a new one.
    void noteConnection(u64 linkId)
    {
        const bool isOther = m_linkId != 0 && m_linkId != linkId;
        m_linkId = linkId;
        if (isOther) {
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
            for (const auto &message : m_waiting) {
                m_socket->send({message.SerializeAsString()});
            }
            m_waiting.clear();
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
    u64 m_linkId = 0; // how the peer names the present connection
    bool m_isClosed = false;
    std::atomic<u64> m_bootId{0};

    std::mutex m_mutex; // guards what follows
    membership::HeartbeatSchedule m_schedule;
    bool m_isEstablished = false;
    std::shared_ptr<detail::Socket> m_socket;
    std::deque<schema::LinkMessage> m_waiting;
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
