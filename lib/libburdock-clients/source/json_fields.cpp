#include <burdock/clients/json_fields.hpp>

#include <boost/json.hpp>

namespace burdock::clients {

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

std::optional<double> realOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    if (value == nullptr || !value->is_number()) {
        return std::nullopt;
    }
    return value->to_number<double>();
}

bool flagOf(const boost::json::object &object, std::string_view key)
{
    const auto *value = object.if_contains(key);
    const auto *flag = value == nullptr ? nullptr : value->if_bool();
    return flag != nullptr && *flag;
}

const boost::json::object &objectOf(const boost::json::object &object, std::string_view key)
{
    static const boost::json::object s_empty;
    const auto *value = object.if_contains(key);
    const auto *found = value == nullptr ? nullptr : value->if_object();
    return found == nullptr ? s_empty : *found;
}

const boost::json::array &arrayOf(const boost::json::object &object, std::string_view key)
{
    static const boost::json::array s_empty;
    const auto *value = object.if_contains(key);
    const auto *found = value == nullptr ? nullptr : value->if_array();
    return found == nullptr ? s_empty : *found;
}

} // namespace burdock::clients
