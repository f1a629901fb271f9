#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <optional>
#include <zmq.hpp>

using namespace support;

TEST_CASE("a prompt and a service call are answered, and the streamed and the buffered answer are equal")
{
    Deployment deployment;
    deployment.start();
    PromptCall call;
    call.prompt = "The bridge opened on Tuesday, not Monday.";
    const auto streamedAnswer = sendAndWait(deployment, 0, call);
    call.isStreamed = false;
    const auto bufferedAnswer = sendAndWait(deployment, 1, call);
    CHECK(streamedAnswer.isComplete);
    CHECK(bufferedAnswer.isComplete);
    CHECK(streamedAnswer.text == standins::expectedAnswer(call.prompt, call.tokens));
    CHECK(bufferedAnswer.text == streamedAnswer.text);

    ServiceCall serviceCall;
    serviceCall.method = "GET";
    serviceCall.path = "/list?hall=2";
    serviceCall.body = "";
    const auto serviceAnswer = sendAndWait(deployment, 0, serviceCall);
    CHECK(serviceAnswer.isComplete);
    CHECK(serviceAnswer.text.find("/list?hall=2") != std::string::npos);
}

TEST_CASE("invalid requests get a 4xx status with the verdict not_run, and the entry continues to serve")
{
    Deployment deployment;
    deployment.start();
    const auto address = runtime::http::parseAddress(deployment.entryAddress(0));
    const auto send = [&](const std::string &method, const std::string &target, const std::string &body, const std::string &key) {
        runtime::http::Request request;
        request.method = method;
        request.target = target;
        request.body = body;
        request.headers.emplace_back("Authorization", "Bearer " + key);
        return deployment.spawn(runtime::http::exchange(address, request, std::chrono::seconds(5))).get().response;
    };
    CHECK(send("POST", "/v1/completions", "{", "key-desk").status == 400);
    CHECK(send("POST", "/v1/completions", R"({"model":"m","prompt":7})", "key-desk").status == 400);
    CHECK(send("POST", "/v1/completions", R"({"model":"m","prompt":"x","max_tokens":-1})", "key-desk").status == 400);
    CHECK(send("POST", "/v1/chat/completions", R"({"model":"m","messages":[{"role":"user"}]})", "key-desk").status == 400);
    CHECK(send("GET", "/v1/completions", "", "key-desk").status == 405);
    CHECK(send("POST", "/v1/completions", R"({"model":"none","prompt":"x"})", "key-desk").status == 404);
    CHECK(send("POST", "/services/none/x", "", "key-desk").status == 404);
    CHECK(send("GET", "/elsewhere", "", "key-desk").status == 404);
    CHECK(send("POST", "/v1/completions", "{}", "wrong-key").status == 401);
    CHECK(send("POST", "/v1/completions", std::string(9 * 1024 * 1024, 'x'), "key-desk").status == 413);
    CHECK(send("POST", "/v1/completions", R"({"model":"none","prompt":"x"})", "key-desk").body.find("not_run") != std::string::npos);
    CHECK(sendAndWait(deployment, 0, PromptCall{}).isComplete);
    CHECK(deployment.engine(0).started() + deployment.engine(1).started() == 1);
}

// A process of another deployment, or one that guessed the port, connects to an endpoint process and sends work. If links checked
// only the protocol and did not compare keys, it would be served.
TEST_CASE("a peer without the key of the deployment is rejected")
{
    Deployment deployment;
    deployment.start();
    Deployment otherDeployment;
    otherDeployment.setListedLeaving("entry-1", true);
    // The entry of the other deployment opens a link to this endpoint process with its own keys.
    boost::json::array vms;
    vms.push_back(boost::json::object{{"name", "model-0"},
                                      {"zone", "zone-a"},
                                      {"pool", "models"},
                                      {"link", deployment.linkProxy("model-0").address()},
                                      {"admin", ""},
                                      {"state", "live"}});
    otherDeployment.platform().setVms(boost::json::serialize(vms));
    otherDeployment.startProcess("entry-0");
    const u64 connectionsBefore = deployment.linkProxy("model-0").connections();
    REQUIRE(waitUntil([&] { return deployment.linkProxy("model-0").connections() > connectionsBefore + 1; }));
    const auto status = otherDeployment.status("entry-0");
    REQUIRE(status.contains("endpoints"));
    CHECK(status.at("endpoints").at(0).at("health").as_string() != "alive");
}

namespace {

// Records the result of the handshake of a CURVE client.
class HandshakeMonitor : public zmq::monitor_t
{
public:
    std::optional<bool> isAccepted;

private:
    void on_event_handshake_succeeded(const zmq_event_t & /*event*/, const char * /*address*/) override
    {
        isAccepted = true;
    }

    void on_event_handshake_failed_auth(const zmq_event_t & /*event*/, const char * /*address*/) override
    {
        isAccepted = false;
    }
};

} // namespace

// An attacker who has read the public key of the deployment from a settings file sends work with a key pair of their own. CURVE by
// itself accepts every client that knows the public key of the server.
TEST_CASE("a peer that knows only the public key is rejected")
{
    Deployment deployment;
    deployment.start();
    const auto ownKeys = runtime::link::generateKeys();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, deployment.linkPublicKey());
    socket.set(zmq::sockopt::curve_publickey, ownKeys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, ownKeys.secretKey);
    HandshakeMonitor monitor;
    monitor.init(socket, "inproc://handshake", ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
    socket.connect("tcp://" + deployment.linkProxy("model-0").address());
    REQUIRE(waitUntil([&] {
        monitor.check_event(0);
        return monitor.isAccepted.has_value();
    }));
    CHECK_FALSE(*monitor.isAccepted);
}

TEST_CASE("a daemon with invalid settings reports all errors and does not start")
{
    Deployment deployment;
    const auto path = deployment.directory() + "/bad.json";
    std::ofstream(path) << R"({"role":"ENTRY","name":"","zone":"a","admin_listen":"x","platform":"127.0.0.1:1","links":{},"entry":{}})";
    ChildProcess daemon({BURDOCK_DAEMON, "--settings=" + path}, deployment.directory() + "/bad.log");
    CHECK(daemon.waitForExit(std::chrono::seconds(10)) == 2);
    const auto log = deployment.logOf("bad");
    for (const auto *field : {"$.name", "$.admin_listen", "$.links.public_key", "$.trusted_signers", "$.entry.listen"}) {
        CHECK_MESSAGE(log.find(field) != std::string::npos, field);
    }
}
