#include <burdock/wire/message_scanner.hpp>

#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <charconv>
#include <limits>

namespace burdock::wire {

namespace {

constexpr std::string_view LineEnd = "\r\n";
constexpr int HexBase = 16;
constexpr unsigned char FirstPrintable = 0x20;
constexpr unsigned char Delete = 0x7F;

bool isControl(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return (byte < FirstPrintable && c != '\t') || byte == Delete;
}

} // namespace

MessageScanner::MessageScanner(MessageKind kind, std::size_t maxHeadBytes)
    : m_rules(kind)
    , m_maxHeadBytes(maxHeadBytes)
{
}

std::size_t MessageScanner::scan(std::string_view bytes)
{
    std::size_t released = 0;
    while (m_fault == MessageFault::None && m_part != Part::Nothing) {
        const auto size = scanPart(bytes.substr(released));
        released += size;
        if (size == 0) {
            break;
        }
    }
    return released;
}

std::size_t MessageScanner::scanPart(std::string_view bytes)
{
    return isLine() ? scanLine(bytes) : scanData(bytes);
}

bool MessageScanner::isLine() const
{
    return m_part != Part::Body && m_part != Part::ChunkData;
}

std::size_t MessageScanner::scanData(std::string_view bytes)
{
    const auto size = static_cast<std::size_t>(std::min<u64>(bytes.size(), m_remaining));
    m_remaining -= size;
    if (m_remaining == 0) {
        m_part = m_part == Part::Body ? Part::Nothing : Part::ChunkEnd;
    }
    return size;
}

std::size_t MessageScanner::scanLine(std::string_view bytes)
{
    const auto lineFeed = bytes.find('\n', m_checked);
    const bool isWhole = lineFeed != std::string_view::npos;
    const auto line = isWhole ? bytes.substr(0, lineFeed + 1) : bytes;
    checkNewBytes(line);
    if (m_fault == MessageFault::None && m_sectionBytes + line.size() > m_maxHeadBytes) {
        m_fault = MessageFault::HeadTooLong;
    }
    if (!isWhole || m_fault != MessageFault::None) {
        return 0;
    }
    m_checked = 0;
    m_sectionBytes += line.size();
    takeLine(line.substr(0, line.size() - LineEnd.size()));
    return m_fault == MessageFault::None ? line.size() : 0;
}

// Finds faults before the line has ended, so that bytes which are no HTTP at all are answered at once.
void MessageScanner::checkNewBytes(std::string_view bytes)
{
    for (auto i = m_checked; i < bytes.size(); ++i) {
        const char c = bytes[i];
        const bool isAfterCr = i > 0 && bytes[i - 1] == '\r';
        if ((c == '\n') != isAfterCr) {
            m_fault = MessageFault::BadLineEnd;
            return;
        }
        if (isControl(c) && c != '\r' && c != '\n') {
            m_fault = MessageFault::ControlByte;
            return;
        }
    }
    m_checked = bytes.size();
}

void MessageScanner::takeLine(std::string_view line)
{
    switch (m_part) {
    case Part::StartLine:
        m_fault = m_rules.checkStartLine(line);
        m_part = Part::Field;
        break;
    case Part::Field:
        if (line.empty()) {
            endHead();
        } else {
            m_fault = m_rules.checkField(line);
        }
        break;
    case Part::ChunkSize:
        takeChunkSize(line);
        break;
    case Part::ChunkEnd:
        m_fault = line.empty() ? MessageFault::None : MessageFault::BadChunk;
        m_part = Part::ChunkSize;
        m_sectionBytes = 0;
        break;
    case Part::Trailer:
        if (line.empty()) {
            m_part = Part::Nothing;
        } else {
            m_fault = HeadRules::checkTrailer(line);
        }
        break;
    case Part::Body:
    case Part::ChunkData:
    case Part::Nothing:
        break;
    }
}

void MessageScanner::endHead()
{
    m_fault = m_rules.checkEnd();
    if (m_fault != MessageFault::None) {
        return;
    }
    m_sectionBytes = 0;
    if (!m_rules.hasBody()) {
        m_part = Part::Nothing;
        return;
    }
    const auto framing = m_rules.framing();
    m_part = framing == run::BodyFraming::Chunked ? Part::ChunkSize : Part::Body;
    m_remaining = framing == run::BodyFraming::ContentLength ? m_rules.contentLength() : std::numeric_limits<u64>::max();
}

void MessageScanner::takeChunkSize(std::string_view line)
{
    const auto *end = line.data() + line.size();
    const auto [rest, error] = std::from_chars(line.data(), end, m_remaining, HexBase);
    const auto extension = trimmed({rest, static_cast<std::size_t>(end - rest)});
    const bool hasOnlyBlanks = extension.empty() && rest != end;
    if (error != std::errc() || hasOnlyBlanks || (!extension.empty() && extension.front() != ';')) {
        m_fault = MessageFault::BadChunk;
        return;
    }
    m_part = m_remaining == 0 ? Part::Trailer : Part::ChunkData;
    m_sectionBytes = 0;
}

MessageFault MessageScanner::fault() const
{
    return m_fault;
}

bool MessageScanner::isHeadComplete() const
{
    return m_part != Part::StartLine && m_part != Part::Field;
}

bool MessageScanner::isComplete() const
{
    return m_part == Part::Nothing;
}

run::BodyFraming MessageScanner::framing() const
{
    return m_rules.framing();
}

} // namespace burdock::wire
