#include <support/caller.hpp>

#include <csignal>
#include <doctest/doctest.h>
#include <fstream>
#include <optional>
#include <zmq.hpp>

using namespace support;

TEST_CASE("a prompt and a call go through, and both ways of reading an answer agree")
{
    Deployment deployment;
    deployment.start();
    PromptCall call;
    call.prompt = "The bridge opened on Tuesday, not Monday.";
    const auto streamed = ask(deployment, 0, call);
    call.isStreamed = false;
    const auto whole = ask(deployment, 1, call);
    CHECK(streamed.isWhole);
    CHECK(whole.isWhole);
    CHECK(streamed.text == standins::expectedAnswer(call.prompt, call.tokens));
    CHECK(whole.text == streamed.text);

    ServiceCall read;
    read.method = "GET";
    read.path = "/list?hall=2";
    read.body = "";
    const auto service = ask(deployment, 0, read);
    CHECK(service.isWhole);
    CHECK(service.text.find("/list?hall=2") != std::string::npos);
}

TEST_CASE("requests that are wrong get a 4xx with the verdict not_run, and the entry goes on")
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
    CHECK(ask(deployment, 0, PromptCall{}).isWhole);
    CHECK(deployment.engine(0).started() + deployment.engine(1).started() == 1);
}

// A process of another deployment, or one that guessed the port, connects to an endpoint process and proposes work.
// It would be served if the link only checked that somebody speaks the protocol. Cause: keys not compared.
TEST_CASE("a peer without the deployment's key is not let in")
{
    Deployment deployment;
    deployment.start();
    Deployment stranger;
    stranger.setListedLeaving("entry-1", true);
    // The stranger's entry links to our endpoint process with its own keys.
    boost::json::array vms;
    vms.push_back(boost::json::object{{"name", "model-0"},
                                      {"zone", "zone-a"},
                                      {"pool", "models"},
                                      {"link", deployment.linkProxy("model-0").address()},
                                      {"admin", ""},
                                      {"state", "live"}});
    stranger.platform().setVms(boost::json::serialize(vms));
    stranger.startProcess("entry-0");
    const u64 before = deployment.linkProxy("model-0").connections();
    REQUIRE(waitUntil([&] { return deployment.linkProxy("model-0").connections() > before + 1; }));
    const auto status = stranger.status("entry-0");
    REQUIRE(status.contains("endpoints"));
    CHECK(status.at("endpoints").at(0).at("health").as_string() != "alive");
}

namespace {

// Tells how the handshake of a CURVE client ended.
class HandshakeMonitor : public zmq::monitor_t
{
public:
    std::optional<bool> isLetIn;

private:
    void on_event_handshake_succeeded(const zmq_event_t & /*event*/, const char * /*address*/) override
    {
        isLetIn = true;
    }

    void on_event_handshake_failed_auth(const zmq_event_t & /*event*/, const char * /*address*/) override
    {
        isLetIn = false;
    }
};

} // namespace

// Somebody has read the deployment's public key from a settings file, and sends work with a key pair of their own.
// Cause: CURVE by itself lets in every client that knows the server's public key.
TEST_CASE("a peer that knows the public key only is not let in")
{
    Deployment deployment;
    deployment.start();
    const auto own = runtime::link::makeKeys();
    zmq::context_t context;
    zmq::socket_t socket(context, zmq::socket_type::dealer);
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::curve_serverkey, deployment.linkPublicKey());
    socket.set(zmq::sockopt::curve_publickey, own.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, own.secretKey);
    HandshakeMonitor monitor;
    monitor.init(socket, "inproc://handshake", ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_HANDSHAKE_FAILED_AUTH);
    socket.connect("tcp://" + deployment.linkProxy("model-0").address());
    REQUIRE(waitUntil([&] {
        monitor.check_event(0);
        return monitor.isLetIn.has_value();
    }));
    CHECK_FALSE(*monitor.isLetIn);
}

TEST_CASE("a daemon with faulty settings names all faults and does not start")
{
    Deployment deployment;
    const auto path = deployment.directory() + "/bad.json";
    std::ofstream(path) << R"({"role":"ENTRY","name":"","zone":"a","admin_listen":"x","platform":"127.0.0.1:1","links":{},"entry":{}})";
    ChildProcess daemon({BURDOCK_DAEMON, "--settings=" + path}, deployment.directory() + "/bad.log");
    CHECK(daemon.waitForEnd(std::chrono::seconds(10)) == 2);
    const auto log = deployment.logOf("bad");
    for (const auto *fault : {"$.name", "$.admin_listen", "$.links.public_key", "$.trusted_signers", "$.entry.listen"}) {
        CHECK_MESSAGE(log.find(fault) != std::string::npos, fault);
    }
}
