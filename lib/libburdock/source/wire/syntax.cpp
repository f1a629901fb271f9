#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <limits>

namespace burdock::wire {

namespace {

constexpr std::string_view TokenMarks = "!#$%&'*+-.^_`|~";
constexpr std::string_view UnreservedMarks = "-._";
/** Bytes of a host name or an address, besides letters and digits. */
constexpr std::string_view HostMarks = "-._~%!$&'()*+,;=";
constexpr std::string_view HexDigits = "0123456789ABCDEF";
constexpr int HexBase = 16;
constexpr std::size_t EscapeBytes = 3; ///< `%` and two digits
constexpr unsigned char Delete = 0x7F;
constexpr unsigned char FirstPrintable = 0x20;

constexpr bool isDigit(char c)
{
    return c >= '0' && c <= '9';
}

constexpr bool isAlphanumeric(char c)
{
    return isDigit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

constexpr bool isOneOf(char c, std::string_view marks)
{
    return marks.find(c) != std::string_view::npos;
}

using ByteTable = std::array<bool, std::size_t{std::numeric_limits<unsigned char>::max()} + 1>;

constexpr ByteTable makeTokenBytes()
{
    ByteTable table{};
    for (std::size_t byte = 0; byte < table.size(); ++byte) {
        const auto c = static_cast<char>(byte);
        table[byte] = isAlphanumeric(c) || isOneOf(c, TokenMarks);
    }
    return table;
}

constexpr ByteTable TokenBytes = makeTokenBytes();

// A fragment is never sent. Other bytes that RFC 3986 wants encoded are common in queries, and can't be mistaken for something else.
bool isTargetByte(char c)
{
    const auto byte = static_cast<unsigned char>(c);
    return byte > FirstPrintable && byte < Delete && c != '#';
}

bool hasScheme(std::string_view target)
{
    const auto end = target.find("://");
    const auto scheme = target.substr(0, end);
    return end != std::string_view::npos && !scheme.empty()
        && std::all_of(scheme.begin(), scheme.end(), [](char c) { return isAlphanumeric(c) || isOneOf(c, "+-."); });
}

bool isPort(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isDigit);
}

bool isIpLiteral(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return isAlphanumeric(c) || isOneOf(c, HostMarks) || c == ':'; });
}

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

bool isBlank(char c)
{
    return c == ' ' || c == '\t';
}

} // namespace

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) { return TokenBytes[static_cast<unsigned char>(c)]; });
}

bool isFieldValue(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return c == '\t' || (byte >= FirstPrintable && byte != Delete);
    });
}

bool isFieldText(std::string_view text)
{
    return isFieldValue(text) && trimmed(text) == text;
}

bool isRequestTarget(std::string_view method, std::string_view target)
{
    if (target.empty() || !std::all_of(target.begin(), target.end(), isTargetByte)) {
        return false;
    }
    if (method == "CONNECT") {
        return isHost(target);
    }
    return target.front() == '/' || (target == "*" && method == "OPTIONS") || hasScheme(target);
}

bool isHost(std::string_view text)
{
    if (!text.empty() && text.front() == '[') {
        const auto end = text.find(']');
        const auto port = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
        return end != std::string_view::npos && isIpLiteral(text.substr(1, end - 1))
            && (port.empty() || (port.front() == ':' && isPort(port.substr(1))));
    }
    const auto colon = text.find(':');
    const auto name = text.substr(0, colon);
    const bool isName = std::all_of(name.begin(), name.end(), [](char c) { return isAlphanumeric(c) || isOneOf(c, HostMarks); });
    return isName && (colon == std::string_view::npos || isPort(text.substr(colon + 1)));
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && isBlank(text.front())) {
        text.remove_prefix(1);
    }
    while (!text.empty() && isBlank(text.back())) {
        text.remove_suffix(1);
    }
    return text;
}

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

std::string percentEncoded(std::string_view name)
{
    std::string encoded;
    encoded.reserve(name.size());
    for (const char c : name) {
        if (isAlphanumeric(c) || isOneOf(c, UnreservedMarks)) {
            encoded += c;
            continue;
        }
        const auto byte = static_cast<unsigned char>(c);
        encoded += '%';
        encoded += HexDigits[byte / HexBase];
        encoded += HexDigits[byte % HexBase];
    }
    return encoded;
}

std::optional<std::string> percentDecoded(std::string_view text)
{
    std::string decoded;
    while (!text.empty()) {
        if (text.front() != '%') {
            decoded += text.front();
            text.remove_prefix(1);
            continue;
        }
        unsigned char byte = 0;
        const auto digits = text.substr(1, EscapeBytes - 1);
        const auto *end = digits.data() + digits.size();
        const auto [rest, error] = std::from_chars(digits.data(), end, byte, HexBase);
        if (digits.size() + 1 < EscapeBytes || error != std::errc() || rest != end) {
            return std::nullopt;
        }
        decoded += static_cast<char>(byte);
        text.remove_prefix(EscapeBytes);
    }
    return decoded;
}

} // namespace burdock::wire
