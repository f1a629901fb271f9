#include <burdock/ops/explain.hpp>
#include <burdock/runtime/logger.hpp>

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sstream>
#include <thread>
#include <unistd.h>

using namespace burdock;

namespace {

/** @brief Redirects standard output into a pipe during its lifetime. */
class CapturedOutput
{
public:
    CapturedOutput()
        : m_saved(::dup(STDOUT_FILENO))
    {
        ::pipe(m_pipe);
        ::dup2(m_pipe[1], STDOUT_FILENO);
        ::close(m_pipe[1]);
    }

    ~CapturedOutput()
    {
        restore();
        ::close(m_pipe[0]);
    }

    CapturedOutput(const CapturedOutput &) = delete;
    CapturedOutput &operator=(const CapturedOutput &) = delete;

    /** @brief Restores standard output. */
    void restore()
    {
        if (m_saved >= 0) {
            ::dup2(m_saved, STDOUT_FILENO);
            ::close(m_saved);
            m_saved = -1;
        }
    }

    /** @brief Reads the output written since the last call, without waiting. */
    [[nodiscard]] std::string read() const
    {
        ::fcntl(m_pipe[0], F_SETFL, O_NONBLOCK);
        std::string all;
        std::string chunk(65536, '\0');
        for (auto size = ::read(m_pipe[0], chunk.data(), chunk.size()); size > 0; size = ::read(m_pipe[0], chunk.data(), chunk.size())) {
            all.append(chunk, 0, static_cast<std::size_t>(size));
        }
        return all;
    }

private:
    int m_saved;
    int m_pipe[2] = {-1, -1};
};

std::size_t countOccurrences(const std::string &text, const std::string &word)
{
    std::size_t count = 0;
    for (auto at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) {
        ++count;
    }
    return count;
}

} // namespace

TEST_CASE("the timeline of a request is sorted by time and includes context events")
{
    std::istringstream logs(R"(noise
 9.1 vm-2 {"ts_ms":1500,"vm":"vm-2","event":"endpoint_ejected","endpoint":"e1","for_ms":500}
{"ts_ms":2000,"level":"warning","vm":"vm-1","event":"refused","id":"a1","reason":"endpoint_lost"}
{"ts_ms":1000,"vm":"vm-1","event":"placed","id":"a1","endpoint":"e1"}
{"ts_ms":1200,"vm":"vm-1","event":"store_lost","kind":"configuration"}
{"ts_ms":1300,"vm":"vm-1","event":"placed","id":"a2","endpoint":"e1"}
{"ts_ms":1400,"vm":"vm-1","event":"endpoint_seen","endpoint":"e9"}
{broken
)");
    const auto timeline = ops::explainRequest("a1", logs);
    REQUIRE(timeline.size() == 4);
    CHECK(timeline[0].event == "placed");
    CHECK(timeline[0].details == R"(endpoint="e1")");
    CHECK(timeline[1].event == "store_lost");
    CHECK(timeline[1].isContext);
    CHECK(timeline[2].event == "endpoint_ejected");
    CHECK(timeline[3].event == "refused");
    std::istringstream again("");
    CHECK(ops::explainRequest("a1", again).empty());
}

// Guards against a process that blocks in a log write and serves no requests, because the log collector hangs and no longer reads
// its output.
TEST_CASE("a reader of the log that stops reading costs lines, which are counted, and no time")
{
    CapturedOutput output;
    runtime::Logger logger(runtime::LogLevel::Info, "vm-1");
    const std::string text(2000, 'x');
    const auto start = std::chrono::steady_clock::now();
    for (u32 event = 0; event < 40; ++event) {
        const auto name = "event_" + std::to_string(event);
        for (u32 i = 0; i < 20; ++i) {
            logger.event(runtime::LogLevel::Info, name, {{"text", std::string_view(text)}});
        }
    }
    CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(2));
    std::string read;
    for (u32 i = 0; i < 20; ++i) {
        read += output.read();
        logger.flush();
    }
    output.restore();
    CHECK(countOccurrences(read, "log_dropped") == 1);
    CHECK(countOccurrences(read, "\"text\"") < 800);
    CHECK(countOccurrences(read, "\"text\"") > 100);
}

TEST_CASE("repeated events are limited to a number of lines per second, and the suppressed ones are reported")
{
    CapturedOutput output;
    runtime::Logger logger(runtime::LogLevel::Info, "vm-1", runtime::LogFlush::OnRequest);
    for (u32 i = 0; i < 5000; ++i) {
        logger.event(runtime::LogLevel::Info, "flood");
    }
    std::this_thread::sleep_for(std::chrono::milliseconds(1100));
    logger.event(runtime::LogLevel::Info, "flood");
    logger.flush();
    const auto read = output.read();
    output.restore();
    CHECK(countOccurrences(read, R"("event":"flood")") <= 601);
    CHECK(countOccurrences(read, "log_suppressed") >= 1);
}
