#include <burdock/platform/json_fields.hpp>

#include <boost/json.hpp>

namespace burdock::platform {

std::string textOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    const auto *text = value == nullptr ? nullptr : value->if_string();
    return text == nullptr ? std::string() : std::string(*text);
}

u64 numberOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr) {
        return 0;
    }
    if (const auto *number = value->if_uint64()) {
        return *number;
    }
    const auto *number = value->if_int64();
    return number == nullptr || *number < 0 ? 0 : static_cast<u64>(*number);
}

} // namespace burdock::platform
