#include <burdock/runtime/link/client.hpp>
#include <burdock/runtime/link/server.hpp>
#include <burdock/runtime/worker_pool.hpp>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <condition_variable>
#include <doctest/doctest.h>
#include <mutex>
#include <string>
#include <vector>

using namespace burdock;
using namespace burdock::runtime;

namespace {

constexpr auto Timeout = std::chrono::seconds(20);

/** @brief Returns a port that is free at the moment. */
u16 freePort()
{
    using Tcp = boost::asio::ip::tcp;
    boost::asio::io_context context;
    return Tcp::acceptor(context, Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)).local_endpoint().port();
}

/** @brief Collects the customers named in run requests, in which the test sends its texts. */
class ReceivedTexts
{
public:
    void add(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_texts.push_back(text);
        m_condition.notify_all();
    }

    [[nodiscard]] std::vector<std::string> await(std::size_t count)
    {
        std::unique_lock lock(m_mutex);
        m_condition.wait_for(lock, Timeout, [&] { return m_texts.size() >= count; });
        return m_texts;
    }

private:
    std::mutex m_mutex;
    std::condition_variable m_condition;
    std::vector<std::string> m_texts;
};

schema::LinkMessage messageWith(const std::string &text)
{
    schema::LinkMessage message;
    message.mutable_run_request()->set_customer(text);
    return message;
}

/** @brief Answers heartbeats, and sends each text back. */
class Echo : public link::ServerHandler
{
public:
    Echo(link::Context &context, const http::Address &address, ReceivedTexts &received)
        : m_received(received)
        , m_server(context, address, *this)
    {
    }

    void onMessage(const link::PeerId &peer, const schema::LinkMessage &message) override
    {
        if (message.has_run_request()) {
            m_received.add(message.run_request().customer());
        }
        m_server.send(peer, message);
    }

private:
    ReceivedTexts &m_received;
    link::Server m_server;
};

class Receiver : public link::ClientHandler
{
public:
    explicit Receiver(ReceivedTexts &received)
        : m_received(received)
    {
    }

    schema::Heartbeat heartbeat(const std::string & /*peer*/) override
    {
        schema::Heartbeat heartbeat;
        heartbeat.set_boot_id(1);
        return heartbeat;
    }

    void onMessage(const std::string & /*peer*/, const schema::LinkMessage &message) override
    {
        if (message.has_run_request()) {
            m_received.add(message.run_request().customer());
        }
    }

    void onLinkReplaced(const std::string & /*peer*/) override
    {
    }

    void onHealth(const std::string & /*peer*/, membership::LinkHealth /*health*/) override
    {
    }

private:
    ReceivedTexts &m_received;
};

} // namespace

// Guards against long messages that are lost because peers without a key may send only short frames.
TEST_CASE("messages of all sizes arrive whole and in order over a link, both ways")
{
    std::vector<std::string> texts;
    char letter = 'a';
    for (const std::size_t size : {1U, 65'000U, 65'520U, 65'536U, 65'537U, 200'000U, 131'072U, 5'000'000U, 2U}) {
        texts.emplace_back(size, letter++);
    }
    const auto keys = link::generateKeys();
    ReceivedTexts atServer;
    ReceivedTexts atClient;
    WorkerPool pool(2);
    {
        link::Context context(pool.context(), keys);
        const http::Address address{"127.0.0.1", freePort()};
        Echo echo(context, address, atServer);
        Receiver receiver(atClient);
        link::Client client(context, "peer", address, {}, receiver);
        for (const auto &text : texts) {
            client.send(messageWith(text));
        }
        CHECK((atServer.await(texts.size()) == texts));
        CHECK((atClient.await(texts.size()) == texts));
        client.close();
        pool.stop();
        pool.wait();
    }
}
