#include <support/caller.hpp>
#include <support/gateway_deployment.hpp>

#include <doctest/doctest.h>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

/** Endpoints that a test registers: one that failed gets nothing for some time. */
constexpr u32 Endpoints = 160;
const std::string HeadEnd = "\r\n\r\n";
constexpr u16 BadGateway = 502;

/** @brief Endpoint of which each further answer is cut one byte later, until its whole head has been sent. */
class CutHeadEndpoint
{
public:
    using MakeAnswer = std::function<std::string(const ReceivedRequest &)>;

    CutHeadEndpoint(MakeAnswer makeAnswer, ConnectionAction end)
        : m_makeAnswer(std::move(makeAnswer))
        , m_end(end)
        , m_replica([this](const ReceivedRequest &request, ReplicaConnection &connection) { return serve(request, connection); })
    {
    }

    [[nodiscard]] const Replica &replica() const
    {
        return m_replica;
    }

    /** @brief Whether an answer was cut before each byte of its head. */
    [[nodiscard]] bool isDone() const
    {
        return m_isDone;
    }

private:
    ConnectionAction serve(const ReceivedRequest &request, ReplicaConnection &connection)
    {
        const auto answer = m_makeAnswer(request);
        const std::size_t headSize = answer.find(HeadEnd) + HeadEnd.size();
        const std::size_t size = m_sentBytes++;
        m_isDone = m_isDone || size + 1 >= headSize;
        connection.write(answer.substr(0, std::min(size, headSize - 1)));
        return m_end;
    }

    MakeAnswer m_makeAnswer;
    ConnectionAction m_end;
    std::atomic<std::size_t> m_sentBytes{0};
    std::atomic<bool> m_isDone{false};
    Replica m_replica;
};

std::string completeAnswer(const ReceivedRequest &request)
{
    return standins::completeResponse(request, 200, "done");
}

std::string unframedAnswer(const ReceivedRequest &request)
{
    return standins::unframedResponse(request, 200, "done");
}

std::string chunkedStream(const ReceivedRequest &request)
{
    return standins::streamHead(request) + standins::eventChunk(1, "x") + standins::StreamEnd;
}

std::string unframedStream(const ReceivedRequest &request)
{
    return standins::unframedStreamHead(request) + standins::eventText(1, "x");
}

/** @brief A call that has nothing in common with others, since what repeats in calls that lose their endpoints is refused. */
GatewayCall distinctCall(const std::string &path, u32 number)
{
    const auto text = std::to_string(number);
    const bool isPrompt = path == "/prompts" || path == "/resumable";
    auto call = isPrompt ? promptCall("", "") : GatewayCall{};
    if (isPrompt) {
        call.extraHeaders.back().second = "a" + text + ":6,b" + text + ":4";
    }
    call.path = path + "/" + text;
    call.attempt = "c" + text;
    call.body = text;
    return call;
}

/** @brief Calls until the endpoint has cut its answer at each byte of the head, and checks that no answer looks like a success. */
void checkNoSuccess(const CutHeadEndpoint::MakeAnswer &makeAnswer, ConnectionAction end, const std::string &service,
                    const std::string &path)
{
    GatewayDeployment gateway;
    CutHeadEndpoint endpoint(makeAnswer, end);
    for (u32 i = 0; i < Endpoints; ++i) {
        gateway.registerReplica("cut-" + std::to_string(i), service, endpoint.replica().address());
    }
    gateway.configure(3);
    gateway.awaitReady();
    u32 wrong = 0;
    for (u32 i = 0; i < Endpoints && !endpoint.isDone(); ++i) {
        const auto answer = gateway.call(distinctCall(path, i));
        wrong += answer.response.status == BadGateway && answer.response.header("X-Server-Seal").empty() ? 0 : 1;
    }
    CHECK(endpoint.isDone());
    CHECK(wrong == 0);
}

} // namespace

// Guards against an answer that looks whole although its endpoint closed in the middle of the head.
TEST_CASE("an answer that ends within its head is not delivered, wherever it is cut")
{
    for (const auto end : {ConnectionAction::Close, ConnectionAction::Reset}) {
        CAPTURE(static_cast<int>(end));
        checkNoSuccess(completeAnswer, end, "plain", "/once");
        checkNoSuccess(unframedAnswer, end, "plain", "/once");
        checkNoSuccess(chunkedStream, end, "engines", "/prompts");
        checkNoSuccess(unframedStream, end, "engines", "/prompts");
    }
}

// Guards against a stream that ends as complete where the endpoint that was to continue it closed in the middle of its head.
TEST_CASE("a stream whose continuation ends within its head is not complete")
{
    GatewayDeployment gateway;
    std::atomic<std::size_t> sentBytes{0};
    Replica endpoint([&sentBytes](const ReceivedRequest &request, ReplicaConnection &connection) {
        const auto head = standins::unframedStreamHead(request);
        if (request.header("Last-Event-Id").empty()) {
            connection.write(standins::streamHead(request) + standins::eventChunk(1, "x"));
        } else {
            connection.write(head.substr(0, std::min<std::size_t>(sentBytes++, head.size() - 1)));
        }
        return ConnectionAction::Close;
    });
    for (u32 i = 0; i < Endpoints; ++i) {
        gateway.registerReplica("cut-" + std::to_string(i), "engines", endpoint.address());
    }
    gateway.configure(3);
    gateway.awaitReady();
    u32 complete = 0;
    for (u32 i = 0; i < Endpoints / 4; ++i) {
        const auto answer = gateway.call(distinctCall("/resumable", i));
        complete += answer.progress == runtime::http::Progress::Answered && answer.response.status == 200 ? 1 : 0;
    }
    CHECK(complete == 0);
    CHECK(sentBytes > 0);
}

// Guards against a call of the gateway's own, to the platform's store or an engine, that takes a head that broke off for an answer.
TEST_CASE("a call whose answer ends within its head has no answer")
{
    for (const auto &makeAnswer : {completeAnswer, unframedAnswer}) {
        CutHeadEndpoint endpoint(makeAnswer, ConnectionAction::Close);
        const auto address = runtime::http::parseAddress(endpoint.replica().address());
        runtime::WorkerPool pool(1);
        u32 answered = 0;
        for (u32 i = 0; i < Endpoints && !endpoint.isDone(); ++i) {
            const runtime::http::Request request;
            const auto result = boost::asio::co_spawn(pool.context(), runtime::http::exchange(address, request, std::chrono::seconds(1)),
                                                      boost::asio::use_future)
                                    .get();
            answered += result.progress == runtime::http::Progress::Answered ? 1 : 0;
        }
        CHECK(endpoint.isDone());
        CHECK(answered == 0);
        pool.stop();
        pool.wait();
    }
}

// Guards against a service's head that broke off and that its caller gets, or finds recorded, as an answer.
TEST_CASE("an entry passes on no answer of a service that ends within its head")
{
    const std::vector<std::string> heads{"HTTP/1.1 200", "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n",
                                         "HTTP/1.1 200 OK\r\nContent-Length: 1", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n"};
    for (const auto &head : heads) {
        CAPTURE(head);
        Replica service([&head](const ReceivedRequest &, ReplicaConnection &connection) {
            connection.write(head);
            return ConnectionAction::Close;
        });
        DeploymentOptions options;
        options.entries = 1;
        options.engines = 0;
        options.zones = 1;
        options.serviceAddresses = {service.address()};
        Deployment deployment(options);
        deployment.start();
        ServiceCall order;
        order.key = "k1";
        const auto answer = sendAndWait(deployment, 0, order);
        CHECK(answer.status == BadGateway);
        CHECK(answer.verdict == "may_have_run");
        CHECK(service.received().size() == 1);
    }
}
