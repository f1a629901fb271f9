#include <burdock/runtime/http/message.hpp>

#include <algorithm>
#include <cctype>
#include <charconv>

namespace burdock::runtime::http {

namespace {

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    const auto same = [](unsigned char a, unsigned char b) {
        return std::tolower(a) == std::tolower(b);
    };
    return std::equal(left.begin(), left.end(), right.begin(), right.end(), same);
}

std::string_view find(const Headers &headers, std::string_view name)
{
    for (const auto &[key, value] : headers) {
        if (equalsIgnoringCase(key, name)) {
            return value;
        }
    }
    return {};
}

} // namespace

std::string_view Request::header(std::string_view name) const
{
    return find(headers, name);
}

std::string_view Response::header(std::string_view name) const
{
    return find(headers, name);
}

std::string_view Request::path() const
{
    return std::string_view(target).substr(0, target.find('?'));
}

std::string_view Request::query(std::string_view name) const
{
    const auto mark = target.find('?');
    auto rest = mark == std::string::npos ? std::string_view() : std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const auto pair = rest.substr(0, rest.find('&'));
        const auto equals = pair.find('=');
        if (equals != std::string_view::npos && pair.substr(0, equals) == name) {
            return pair.substr(equals + 1);
        }
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return {};
}

Address parseAddress(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    Address address{std::string(text.substr(0, colon)), 0};
    const auto digits = text.substr(colon + 1);
    const auto *end = digits.data() + digits.size();
    const auto [rest, error] = std::from_chars(digits.data(), end, address.port);
    if (error != std::errc() || rest != end) {
        address.port = 0;
    }
    return address;
}

} // namespace burdock::runtime::http
