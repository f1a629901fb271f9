#include <support/caller.hpp>
#include <support/deployment.hpp>
#include <support/gateway_deployment.hpp>

#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>

using namespace burdock;
using namespace support;
using standins::ConnectionAction;
using standins::ReceivedRequest;
using standins::Replica;
using standins::ReplicaConnection;

namespace {

constexpr u16 BadGateway = 502;
const std::string InnerRequest
    = "POST /once/inner HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: inner\r\nAuthorization: Token key-desk\r\n"
      "Content-Length: 5\r\n\r\norder";

/** @brief Headers and body by which a request becomes one that HTTP doesn't allow. */
struct Malformation
{
    std::string headers;
    std::string body;
};

const std::map<std::string, Malformation> &malformations()
{
    static const std::map<std::string, Malformation> s_malformations{
        {"an unknown transfer coding", {"Transfer-Encoding: gzip\r\n", InnerRequest}},
        {"a coding after chunked", {"Transfer-Encoding: chunked, identity\r\n", InnerRequest}},
        {"a coding before chunked", {"Transfer-Encoding: gzip, chunked\r\n", "2\r\n{}\r\n0\r\n\r\n"}},
        {"chunks and a length", {"Transfer-Encoding: chunked\r\nContent-Length: 3\r\n", "0\r\n\r\n" + InnerRequest}},
        {"two lengths", {"Content-Length: 0\r\nContent-Length: 0\r\n", InnerRequest}},
        {"a name that ends with a blank", {"X-A : b\r\nContent-Length: 2\r\n", "{}"}},
        {"a continued line", {"X-A: b\r\n c\r\nContent-Length: 2\r\n", "{}"}},
        {"a control byte", {"X-A: b\x01\r\nContent-Length: 2\r\n", "{}"}},
        {"a line feed alone", {"X-A: b\nX-B: c\r\nContent-Length: 2\r\n", "{}"}},
        {"a second host", {"Host: other.example\r\nContent-Length: 2\r\n", "{}"}},
        {"a length in the trailers", {"Transfer-Encoding: chunked\r\n", "2\r\n{}\r\n0\r\nContent-Length: 2\r\n\r\n"}},
        {"a line feed in a chunk's extension", {"Transfer-Encoding: chunked\r\n", "2;a\nb\r\n{}\r\n0\r\n\r\n"}},
    };
    return s_malformations;
}

std::string malformedRequest(const std::string &target, const Malformation &malformation)
{
    return fmt::format(
        "POST {} HTTP/1.1\r\nHost: desk.example\r\nX-Attempt-Id: outer\r\nX-Deadline-Ms: 3000\r\nAuthorization: Token key-desk\r\n"
        "{}\r\n{}",
        target, malformation.headers, malformation.body);
}

/** @brief Whether bytes are one response with the status 400, and nothing after it. */
bool isSingleBadRequest(const std::string &bytes)
{
    const std::string start = "HTTP/1.1 ";
    return bytes.starts_with(start + "400 ") && bytes.find(start, start.size()) == std::string::npos;
}

/** @brief Answers that HTTP doesn't allow, but that look like a success of a request; `{}` stands for its attempt's id. */
const std::map<std::string, std::string> &malformedAnswers()
{
    const std::string start = "HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n";
    const std::string ending = "Content-Length: 4\r\n\r\ndone";
    const std::string chunks = "Transfer-Encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n";
    static const std::map<std::string, std::string> s_answers{
        {"status 000", "HTTP/1.1 000 X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n" + ending},
        {"status 600", "HTTP/1.1 600 X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n" + ending},
        {"another protocol", "HTTP/1.1 101 X\r\nX-Attempt-Id: {}\r\nX-Server-Seal: seal\r\n\r\n"},
        {"a blank in a name", start + "X Note: a\r\n" + ending},
        {"a blank after a name", start + "X-Note : a\r\n" + ending},
        {"a blank after the name of the length", start + "Content-Length : 2\r\n" + ending},
        {"a control byte in a name", start + "X-\x01Note: a\r\n" + ending},
        {"a control byte in a value", start + "X-Note: a\x01\r\n" + ending},
        {"a continued line", start + "X-Note: a\r\n b\r\n" + ending},
        {"a continued line that hides the length", start + "X-Note: a\r\n Content-Length: 2\r\n" + ending},
        {"a line feed alone", start + "X-Note: a\nX-Other: b\r\n" + ending},
        {"two lengths", start + "Content-Length: 4\r\n" + ending},
        {"a content coding", start + "Content-Encoding: gzip\r\n" + ending},
        {"chunks and a length", start + "Content-Length: 4\r\n" + chunks + "\r\n"},
        {"an unknown transfer coding", start + "Transfer-Encoding: gzip\r\n\r\ndone"},
        {"a coding before chunked", start + "Transfer-Encoding: gzip, chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n"},
        {"a length in the trailers", start + chunks + "Content-Length: 2\r\n\r\n"},
        {"a control byte in the trailers", start + chunks + "X-Note: \x01\r\n\r\n"},
        {"a line feed in a chunk's extension", start + "Transfer-Encoding: chunked\r\n\r\n4;a\nb\r\ndone\r\n0\r\n\r\n"},
    };
    return s_answers;
}

std::string answerTo(const ReceivedRequest &request, std::string answer)
{
    const auto place = answer.find("{}");
    return answer.replace(place, 2, request.header("X-Attempt-Id"));
}

/** @brief Writes an answer, then ends the connection as one does whose answers may end with it. */
standins::ReplicaScript respondWith(const std::string &answer)
{
    return [answer](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(answerTo(request, answer));
        return ConnectionAction::Close;
    };
}

} // namespace

// Guards against a request in the body of another one that runs at an endpoint, and against the outer one without its body.
TEST_CASE("a request that HTTP doesn't allow gets 400 and the end of its connection")
{
    GatewayDeployment gateway;
    Replica plain([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::completeResponse(request, 200, "done"));
        return ConnectionAction::Keep;
    });
    gateway.setUpService("plain", {&plain});
    for (const auto &entry : malformations()) {
        const auto &name = entry.first;
        const auto &malformation = entry.second;
        CAPTURE(name);
        CHECK(isSingleBadRequest(gateway.sendRaw(malformedRequest("/once/outer", malformation))));
    }
    CHECK(isSingleBadRequest(gateway.sendRaw("POST /once/1 HTTP/1.1\r\nX-Attempt-Id: outer\r\nContent-Length: 0\r\n\r\n")));
    CHECK(plain.received().empty());
    CHECK(gateway.call({}).response.status == 200);
}

// Guards against listeners that read requests less strictly than that of the callers.
TEST_CASE("all listeners answer requests that HTTP doesn't allow with 400")
{
    GatewayDeployment gateway;
    gateway.setUpService("plain", {});
    Deployment own;
    own.start();
    const std::vector<std::string> addresses{gateway.gateway().readinessAddress(), gateway.gateway().metricsAddress(), own.entryAddress(0),
                                             own.adminAddress("entry-0"), own.adminAddress("model-0")};
    for (const auto &address : addresses) {
        CAPTURE(address);
        for (const auto &entry : malformations()) {
            const auto &name = entry.first;
            const auto &malformation = entry.second;
            CAPTURE(name);
            CHECK(isSingleBadRequest(exchangeBytes(address, malformedRequest("/", malformation))));
        }
    }
}

// Guards against a failed endpoint's bytes that reach a caller as an answer.
TEST_CASE("an answer that HTTP doesn't allow has failed and isn't passed on")
{
    for (const auto &entry : malformedAnswers()) {
        const auto &name = entry.first;
        const auto &answer = entry.second;
        CAPTURE(name);
        GatewayDeployment gateway;
        Replica plain(respondWith(answer));
        Replica engine(respondWith(answer));
        gateway.configure(3);
        gateway.registerReplica("r1", "plain", plain.address());
        gateway.registerReplica("r2", "engines", engine.address());
        gateway.awaitReady();
        const auto once = gateway.call({});
        CHECK(once.progress == runtime::http::Progress::Answered);
        CHECK(once.response.status == BadGateway);
        const auto stream = gateway.call(promptCall("/prompts/1", "s1"));
        const bool isFailed = stream.progress != runtime::http::Progress::Answered || stream.response.status == BadGateway;
        CHECK(isFailed);
    }
}

// Guards against a body that isn't as the endpoint made it.
TEST_CASE("an answer with a content coding has failed and isn't passed on")
{
    GatewayDeployment gateway;
    Replica plain([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write(standins::completeResponse(request, 200, "done", "Content-Encoding: gzip\r\n"));
        return ConnectionAction::Keep;
    });
    gateway.setUpService("plain", {&plain});
    CHECK(gateway.call({}).response.status == BadGateway);
}

// Guards against calls of the product's own whose answers are read less strictly than those for callers.
TEST_CASE("answers that HTTP doesn't allow fail the product's own calls")
{
    runtime::WorkerPool pool(1);
    for (const auto &entry : malformedAnswers()) {
        const auto &name = entry.first;
        const auto &answer = entry.second;
        CAPTURE(name);
        Replica peer(respondWith(answer));
        const auto address = runtime::http::parseAddress(peer.address());
        runtime::http::KeepAliveClient client(address, std::chrono::seconds(1));
        const auto strand = boost::asio::make_strand(pool.context());
        const runtime::http::Request request;
        auto single
            = boost::asio::co_spawn(strand, runtime::http::exchange(address, request, std::chrono::seconds(1)), boost::asio::use_future);
        auto kept = boost::asio::co_spawn(strand, client.exchange(request, std::chrono::seconds(1)), boost::asio::use_future);
        CHECK(single.get().progress == runtime::http::Progress::MayBeSent);
        CHECK(kept.get().progress == runtime::http::Progress::MayBeSent);
    }
    pool.stop();
    pool.wait();
}

// Guards against the body of an answer to HEAD, which the caller takes for the next answer on its connection.
TEST_CASE("an answer to HEAD has no body, whatever its head says")
{
    GatewayDeployment gateway;
    Replica replica([](const ReceivedRequest &request, ReplicaConnection &connection) {
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + request.header("X-Attempt-Id")
                         + "\r\nX-Server-Seal: seal\r\nContent-Length: 4\r\n\r\n");
        return ConnectionAction::Keep;
    });
    gateway.configure(3);
    gateway.registerReplica("r1", "plain", replica.address());
    gateway.registerReplica("r2", "engines", replica.address());
    gateway.awaitReady();
    for (const std::string path : {"/once/1", "/prompts/1", "/unknown"}) {
        CAPTURE(path);
        GatewayCall call = promptCall(path, "h" + path.substr(1, 1));
        call.method = "HEAD";
        call.body.clear();
        const auto answer = gateway.callRaw(call);
        CHECK(answer.starts_with(path == "/unknown" ? "HTTP/1.1 404 " : "HTTP/1.1 200 "));
        CHECK(answer.find("\r\n\r\n") == answer.size() - 4);
    }
}
