#include <burdock/wire/message_scanner.hpp>
#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <doctest/doctest.h>
#include <string>
#include <utility>
#include <vector>

using namespace burdock;
using wire::MessageFault;
using wire::MessageKind;
using wire::MessageScanner;

namespace {

constexpr std::size_t MaxHeadBytes = 1024;
const std::string RequestStart = "POST /page HTTP/1.1\r\nHost: test\r\n";
const std::string ChunkedRequest = RequestStart + "Transfer-Encoding: chunked\r\n\r\n";
const std::string AnswerStart = "HTTP/1.1 200 OK\r\n";
const std::string ChunkedAnswer = AnswerStart + "Transfer-Encoding: chunked\r\n\r\n";

using Faults = std::vector<std::pair<std::string, MessageFault>>;

const Faults &faultyRequests()
{
    static const Faults s_requests{
        {"POST /page HTTP/1.1\nHost: test\n\n", MessageFault::BadLineEnd},
        {"POST /page HTTP/1.1\r\nHost: test\r\nX-A: b\rX-C: d\r\n\r\n", MessageFault::BadLineEnd},
        {"\x16\x03\x01", MessageFault::ControlByte},
        {"POST /pa\tge HTTP/1.1\r\nHost: test\r\n\r\n", MessageFault::BadTarget},
        {"POST /page HTTP/1.1\r\nHost: test\r\nX-A: b\x01\r\n\r\n", MessageFault::ControlByte},
        {RequestStart + "X-A: b" + std::string(1, '\0') + "\r\n\r\n", MessageFault::ControlByte},
        {RequestStart + "X-A: b\x7f\r\n\r\n", MessageFault::ControlByte},
        {"POST\r\n\r\n", MessageFault::BadStartLine},
        {"PO(ST /page HTTP/1.1\r\n", MessageFault::BadStartLine},
        {" POST /page HTTP/1.1\r\n", MessageFault::BadStartLine},
        {"POST /pa ge HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST page HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST * HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST /page#part HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST /caf\xc3\xa9 HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST  /page HTTP/1.1\r\n", MessageFault::BadTarget},
        {"POST /page HTTP/2.0\r\n", MessageFault::BadVersion},
        {"POST /page HTTP/1.1 \r\n", MessageFault::BadTarget},
        {"POST /page http/1.1\r\n", MessageFault::BadVersion},
        {RequestStart + "X-A : b\r\n\r\n", MessageFault::BadFieldName},
        {RequestStart + "X A: b\r\n\r\n", MessageFault::BadFieldName},
        {RequestStart + ": b\r\n\r\n", MessageFault::BadFieldName},
        {RequestStart + "X-A\r\n\r\n", MessageFault::BadFieldName},
        {RequestStart + "X-A: b\r\n c\r\n\r\n", MessageFault::BadFieldName},
        {RequestStart + " X-A: b\r\n\r\n", MessageFault::BadFieldName},
        {"POST /page HTTP/1.1\r\n\r\n", MessageFault::BadHost},
        {RequestStart + "Host: test\r\n\r\n", MessageFault::BadHost},
        {"POST /page HTTP/1.1\r\nHost: te st\r\n\r\n", MessageFault::BadHost},
        {"POST /page HTTP/1.1\r\nHost: test:8x\r\n\r\n", MessageFault::BadHost},
        {RequestStart + "Content-Length: 2, 2\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length: 2\r\nContent-Length: 2\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length: +2\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length: -2\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length: 0x2\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length:\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Content-Length: 99999999999999999999\r\n\r\n", MessageFault::BadContentLength},
        {RequestStart + "Transfer-Encoding: gzip\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: chunked, identity\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: gzip, chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: chunked, chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: \"chunked\"\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding:\r\n\r\n", MessageFault::BadTransferCoding},
        {RequestStart + "Transfer-Encoding: chunked\r\nContent-Length: 2\r\n\r\n", MessageFault::BadTransferCoding},
        {"POST /page HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {ChunkedRequest + "x\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "-1\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "+1\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "0x1\r\n", MessageFault::BadChunk},
        {ChunkedRequest + " 1\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "1 \r\n", MessageFault::BadChunk},
        {ChunkedRequest + "\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "11111111111111111\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "2;a=\nb\r\n", MessageFault::BadLineEnd},
        {ChunkedRequest + "2;a=\x02\r\n", MessageFault::ControlByte},
        {ChunkedRequest + "2\nab\r\n0\r\n\r\n", MessageFault::BadLineEnd},
        {ChunkedRequest + "2\r\nabc\r\n0\r\n\r\n", MessageFault::BadChunk},
        {ChunkedRequest + "0\r\nX-A : b\r\n\r\n", MessageFault::BadFieldName},
        {ChunkedRequest + "0\r\nX-A: \x01\r\n\r\n", MessageFault::ControlByte},
        {ChunkedRequest + "0\r\nContent-Length: 2\r\n\r\n", MessageFault::BadTrailer},
        {ChunkedRequest + "0\r\nTransfer-Encoding: chunked\r\n\r\n", MessageFault::BadTrailer},
        {ChunkedRequest + "0\r\nhost: other\r\n\r\n", MessageFault::BadTrailer},
        {RequestStart + "X-A: " + std::string(MaxHeadBytes, 'a'), MessageFault::HeadTooLong},
        {ChunkedRequest + "0\r\nX-A: " + std::string(MaxHeadBytes, 'a'), MessageFault::HeadTooLong},
        {ChunkedRequest + "1;" + std::string(MaxHeadBytes, 'a'), MessageFault::HeadTooLong},
    };
    return s_requests;
}

const Faults &faultyAnswers()
{
    static const Faults s_answers{
        {"HTTP/1.1 000 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 099 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 600 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 101 Switching Protocols\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 2000 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 20 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1  200 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 +20 OK\r\n\r\n", MessageFault::BadStatus},
        {"HTTP/1.1 200 O\x01K\r\n\r\n", MessageFault::ControlByte},
        {"HTTP/2 200 OK\r\n\r\n", MessageFault::BadVersion},
        {"nonsense\r\n", MessageFault::BadStartLine},
        {AnswerStart + "Content-Encoding: gzip\r\n\r\n", MessageFault::ContentCoding},
        {AnswerStart + "X-A : b\r\n\r\n", MessageFault::BadFieldName},
        {AnswerStart + "X A: b\r\n\r\n", MessageFault::BadFieldName},
        {AnswerStart + "X-\x01" + "A: b\r\n\r\n", MessageFault::ControlByte},
        {AnswerStart + "X-A: b\r\n\tc\r\n\r\n", MessageFault::BadFieldName},
        {AnswerStart + "X-A: b\x0b\r\n\r\n", MessageFault::ControlByte},
        {AnswerStart + "Content-Length: 2\r\nContent-Length: 3\r\n\r\n", MessageFault::BadContentLength},
        {AnswerStart + "Transfer-Encoding: gzip\r\n\r\n", MessageFault::BadTransferCoding},
        {AnswerStart + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n", MessageFault::BadTransferCoding},
        {"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {"HTTP/1.1 204 No Content\r\nTransfer-Encoding: chunked\r\n\r\n", MessageFault::BadTransferCoding},
        {"HTTP/1.1 204 No Content\r\nContent-Length: 3\r\n\r\n", MessageFault::BadContentLength},
        {"HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n", MessageFault::BadContentLength},
        {ChunkedAnswer + "2\r\nabc", MessageFault::BadChunk},
        {ChunkedAnswer + "0\r\nX A: b\r\n\r\n", MessageFault::BadFieldName},
        {ChunkedAnswer + "0\r\nContent-Length: 3\r\n\r\n", MessageFault::BadTrailer},
    };
    return s_answers;
}

/** @brief Scans a message that arrives in pieces of a size. */
MessageScanner scanInPieces(MessageKind kind, const std::string &message, std::size_t pieceBytes)
{
    MessageScanner scanner(kind, MaxHeadBytes);
    std::size_t released = 0;
    for (std::size_t received = 0; received < message.size();) {
        received = std::min(message.size(), received + pieceBytes);
        released += scanner.scan(std::string_view(message).substr(released, received - released));
    }
    return scanner;
}

void checkFaults(MessageKind kind, const Faults &messages)
{
    for (const auto &entry : messages) {
        const auto &message = entry.first;
        const auto fault = entry.second;
        CAPTURE(message);
        for (const std::size_t pieceBytes : {std::size_t{1}, std::size_t{7}, message.size()}) {
            CAPTURE(pieceBytes);
            const auto scanner = scanInPieces(kind, message + "\r\n\r\n", pieceBytes);
            CHECK((scanner.fault() == fault));
            CHECK_FALSE(scanner.isComplete());
        }
    }
}

/** @brief Checks that messages are read up to their end, and that nothing after it is released. */
void checkSound(MessageKind kind, const std::vector<std::string> &messages)
{
    const std::string next = "GET /next HTTP/1.1\r\n";
    for (const auto &message : messages) {
        CAPTURE(message);
        for (const std::size_t pieceBytes : {std::size_t{1}, std::size_t{7}, message.size()}) {
            const auto scanner = scanInPieces(kind, message, pieceBytes);
            CHECK((scanner.fault() == MessageFault::None));
            CHECK(scanner.isComplete());
        }
        MessageScanner scanner(kind, MaxHeadBytes);
        CHECK(scanner.scan(message + next) == message.size());
    }
}

} // namespace

// Guards against requests that this project and a server behind it read differently.
TEST_CASE("a request that HTTP doesn't allow is found, however it arrives")
{
    checkFaults(MessageKind::Request, faultyRequests());
}

// Guards against answers that are passed on though they are none, or with a body that isn't theirs.
TEST_CASE("an answer that HTTP doesn't allow is found, however it arrives")
{
    checkFaults(MessageKind::Answer, faultyAnswers());
}

TEST_CASE("sound requests are read up to their end")
{
    checkSound(MessageKind::Request,
               {RequestStart + "\r\n", RequestStart + "Content-Length: 4\r\n\r\nbody", RequestStart + "Content-Length: 0\r\n\r\n",
                ChunkedRequest + "0\r\n\r\n", ChunkedRequest + "4;a=\"b c\"\r\nbody\r\nA\r\n0123456789\r\n0\r\nX-Sum: 1\r\n\r\n",
                RequestStart + "transfer-encoding:\tChunked \r\n\r\n2\r\n\r\n\r\n0\r\n\r\n",
                RequestStart + "X-Empty:\r\nX-Text: caf\xc3\xa9\t\"x\"\r\n\r\n", "GET /page HTTP/1.0\r\n\r\n",
                "OPTIONS * HTTP/1.1\r\nHost: test:8080\r\n\r\n", "GET http://test/page HTTP/1.1\r\nHost: test\r\n\r\n",
                "GET /a%00%23?x={y}|z&w=%c3%a9 HTTP/1.1\r\nHost: [::1]:80\r\n\r\n", "M-SEARCH /x HTTP/1.1\r\nHost:\r\n\r\n"});
}

TEST_CASE("sound answers are read up to their end")
{
    checkSound(MessageKind::Answer,
               {AnswerStart + "Content-Length: 4\r\n\r\nbody", ChunkedAnswer + "4\r\nbody\r\n0\r\nX-Sum: 1\r\n\r\n",
                "HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.1 204 \r\nContent-Length: 0\r\n\r\n",
                "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n",
                "HTTP/1.1 529 \r\nContent-Length: 0\r\n\r\n", "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\nx"});
    checkSound(MessageKind::AnswerToHead, {AnswerStart + "Content-Length: 4\r\n\r\n", ChunkedAnswer, AnswerStart + "\r\n"});
}

TEST_CASE("an answer without length or chunks goes on until its connection ends")
{
    const auto scanner = scanInPieces(MessageKind::Answer, AnswerStart + "\r\nbody", 1);
    CHECK((scanner.framing() == run::BodyFraming::UntilClose));
    CHECK(scanner.isHeadComplete());
    CHECK_FALSE(scanner.isComplete());
}

// Guards against names that end a path or a query early, or that are decoded to another name.
TEST_CASE("names are encoded for paths and queries")
{
    CHECK(wire::percentEncoded("a00%#") == "a00%25%23");
    CHECK(wire::percentEncoded("a02&b=") == "a02%26b%3D");
    CHECK(wire::percentEncoded("a03+ /?") == "a03%2B%20%2F%3F");
    CHECK(wire::percentEncoded("a04%C3%A9") == "a04%25C3%25A9");
    CHECK(wire::percentEncoded("caf\xc3\xa9") == "caf%C3%A9");
    CHECK(wire::percentEncoded("Plain-1._~") == "Plain-1._%7E");
    CHECK(wire::percentDecoded("a%7e%25+") == "a~%+");
    for (const std::string malformed : {"%", "%4", "a%4g", "%+1"}) {
        CHECK_FALSE(wire::percentDecoded(malformed));
    }
}
