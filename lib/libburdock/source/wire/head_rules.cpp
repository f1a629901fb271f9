#include <burdock/wire/head_rules.hpp>

#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace burdock::wire {

namespace {

constexpr std::size_t StatusDigits = 3;
constexpr u32 FirstStatus = 100;
constexpr u32 LastStatus = 599;
constexpr u32 SwitchingProtocols = 101;
constexpr u32 FirstFinalStatus = 200;
constexpr u32 NoContent = 204;
constexpr u32 NotModified = 304;
constexpr std::array<std::string_view, 3> HeadOnlyFields{"Content-Length", "Transfer-Encoding", "Host"};

struct Field
{
    std::string_view name;
    std::string_view value;
};

// A line without a colon, or one that continues the line before, yields a name that is no token.
Field split(std::string_view line)
{
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    return {line.substr(0, colon), trimmed(line.substr(colon + 1))};
}

MessageFault checkName(std::string_view name)
{
    return isToken(name) ? MessageFault::None : MessageFault::BadFieldName;
}

template <typename Number>
std::optional<Number> parseDigits(std::string_view text)
{
    Number number = 0;
    const auto *end = text.data() + text.size();
    const auto [rest, error] = std::from_chars(text.data(), end, number);
    return error == std::errc() && rest == end ? std::optional(number) : std::nullopt;
}

} // namespace

HeadRules::HeadRules(MessageKind kind)
    : m_kind(kind)
{
}

MessageFault HeadRules::checkStartLine(std::string_view line)
{
    return m_kind == MessageKind::Request ? checkRequestLine(line) : checkStatusLine(line);
}

MessageFault HeadRules::checkRequestLine(std::string_view line)
{
    const auto first = line.find(' ');
    const auto last = line.rfind(' ');
    if (first == last) {
        return MessageFault::BadStartLine;
    }
    const auto method = line.substr(0, first);
    if (!isToken(method)) {
        return MessageFault::BadStartLine;
    }
    if (!isRequestTarget(method, line.substr(first + 1, last - first - 1))) {
        return MessageFault::BadTarget;
    }
    return noteVersion(line.substr(last + 1));
}

MessageFault HeadRules::checkStatusLine(std::string_view line)
{
    const auto space = line.find(' ');
    if (space == std::string_view::npos) {
        return MessageFault::BadStartLine;
    }
    if (const auto fault = noteVersion(line.substr(0, space)); fault != MessageFault::None) {
        return fault;
    }
    const auto rest = line.substr(space + 1);
    const auto status = parseDigits<u32>(rest.substr(0, StatusDigits));
    if (!status || rest.size() <= StatusDigits || rest[StatusDigits] != ' ') {
        return MessageFault::BadStatus;
    }
    m_status = *status;
    // No request of this project asks for another protocol.
    const bool isValid = m_status >= FirstStatus && m_status <= LastStatus && m_status != SwitchingProtocols;
    return isValid ? MessageFault::None : MessageFault::BadStatus;
}

MessageFault HeadRules::noteVersion(std::string_view text)
{
    m_isVersion11 = text == "HTTP/1.1";
    return m_isVersion11 || text == "HTTP/1.0" ? MessageFault::None : MessageFault::BadVersion;
}

MessageFault HeadRules::checkField(std::string_view line)
{
    const auto field = split(line);
    if (const auto fault = checkName(field.name); fault != MessageFault::None) {
        return fault;
    }
    if (equalsIgnoringCase(field.name, "Content-Length")) {
        return noteContentLength(field.value);
    }
    if (equalsIgnoringCase(field.name, "Transfer-Encoding")) {
        return noteTransferCoding(field.value);
    }
    if (m_kind == MessageKind::Request && equalsIgnoringCase(field.name, "Host")) {
        return noteHost(field.value);
    }
    const bool isCoded = m_kind != MessageKind::Request && equalsIgnoringCase(field.name, "Content-Encoding");
    if (isCoded && !field.value.empty() && !equalsIgnoringCase(field.value, "identity")) {
        return MessageFault::ContentCoding;
    }
    return MessageFault::None;
}

MessageFault HeadRules::checkTrailer(std::string_view line)
{
    const auto field = split(line);
    const bool isHeadOnly
        = std::any_of(HeadOnlyFields.begin(), HeadOnlyFields.end(), [&](auto name) { return equalsIgnoringCase(name, field.name); });
    return isHeadOnly ? MessageFault::BadTrailer : checkName(field.name);
}

// Recipients that take the first of several lengths and recipients that take the last one see different bodies.
MessageFault HeadRules::noteContentLength(std::string_view value)
{
    const auto length = parseDigits<u64>(value);
    if (!length || m_contentLength) {
        return MessageFault::BadContentLength;
    }
    m_contentLength = length;
    return MessageFault::None;
}

// Other codings are neither decoded nor passed on, so their body would be taken for another one.
MessageFault HeadRules::noteTransferCoding(std::string_view value)
{
    if (m_isChunked || !equalsIgnoringCase(value, "chunked")) {
        return MessageFault::BadTransferCoding;
    }
    m_isChunked = true;
    return MessageFault::None;
}

MessageFault HeadRules::noteHost(std::string_view value)
{
    if (m_hasHost || !isHost(value)) {
        return MessageFault::BadHost;
    }
    m_hasHost = true;
    return MessageFault::None;
}

MessageFault HeadRules::checkEnd() const
{
    if (m_kind == MessageKind::Request && m_isVersion11 && !m_hasHost) {
        return MessageFault::BadHost;
    }
    if (m_isChunked && (!m_isVersion11 || m_contentLength || isBodiless())) {
        return MessageFault::BadTransferCoding;
    }
    const bool isLengthForNothing = isBodiless() && m_contentLength.value_or(0) > 0;
    return isLengthForNothing ? MessageFault::BadContentLength : MessageFault::None;
}

// Whether answers with this status can't have a body, nor name the length that it would have.
bool HeadRules::isBodiless() const
{
    return m_kind != MessageKind::Request && (m_status < FirstFinalStatus || m_status == NoContent);
}

bool HeadRules::hasBody() const
{
    if (m_kind == MessageKind::Request) {
        return m_isChunked || m_contentLength.value_or(0) > 0;
    }
    return m_kind == MessageKind::Answer && !isBodiless() && m_status != NotModified && (m_isChunked || m_contentLength != u64{0});
}

run::BodyFraming HeadRules::framing() const
{
    if (m_isChunked) {
        return run::BodyFraming::Chunked;
    }
    return m_contentLength || !hasBody() ? run::BodyFraming::ContentLength : run::BodyFraming::UntilClose;
}

u64 HeadRules::contentLength() const
{
    return m_contentLength.value_or(0);
}

} // namespace burdock::wire
