#include "json_check.hpp"

#include <boost/json.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <algorithm>
#include <limits>

namespace burdock::schema::detail {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
namespace json = boost::json;

constexpr double MaxExactInteger = 9007199254740992.0; // 2^53; a double holds all integers up to it exactly
constexpr std::size_t MaxIntegerDigits = 16;

// The checks below return false for an invalid value. The caller then removes it, so that the remaining values can be parsed and
// validated in the same report.
bool checkObject(const Descriptor &type, json::value &value, const std::string &path, FaultList &faults);

bool isWholeNumber(const json::value &value, double lowest, double highest)
{
    if (!value.is_number()) {
        return false;
    }
    const auto number = value.to_number<double>();
    const bool isWhole = value.is_int64() || value.is_uint64();
    return isWhole && number >= lowest && number <= highest;
}

bool isDigits(const json::value &value)
{
    const auto *text = value.if_string();
    return text != nullptr && !text->empty() && text->size() <= MaxIntegerDigits
        && std::string_view(*text).find_first_not_of("0123456789") == std::string_view::npos;
}

// Describes what is wrong with the value of a scalar field; empty if it is valid.
std::string scalarFault(const FieldDescriptor &field, const json::value &value)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_STRING:
        return value.is_string() ? "" : "must be a string";
    case FieldDescriptor::CPPTYPE_BOOL:
        return value.is_bool() ? "" : "must be true or false";
    case FieldDescriptor::CPPTYPE_DOUBLE:
    case FieldDescriptor::CPPTYPE_FLOAT:
        return value.is_number() ? "" : "must be a number";
    case FieldDescriptor::CPPTYPE_UINT32:
        return isWholeNumber(value, 0, std::numeric_limits<u32>::max()) ? "" : "must be a whole number from 0 to 4294967295";
    case FieldDescriptor::CPPTYPE_UINT64:
        // Protobuf writes 64-bit integers to JSON as strings, so generated bundles contain them in that form.
        return isWholeNumber(value, 0, MaxExactInteger) || isDigits(value) ? "" : "must be a whole number from 0 to 2^53";
    case FieldDescriptor::CPPTYPE_INT32:
        return isWholeNumber(value, std::numeric_limits<i32>::min(), std::numeric_limits<i32>::max()) ? "" : "must be a whole number";
    case FieldDescriptor::CPPTYPE_ENUM: {
        const auto *name = value.if_string();
        const bool isKnown = name != nullptr && field.enum_type()->FindValueByName(std::string(*name)) != nullptr;
        return isKnown ? "" : "must be one of the names of " + field.enum_type()->name();
    }
    default:
        return "";
    }
}

// Whether a JSON path equals another one or is a descendant of it.
bool isWithin(std::string_view path, std::string_view outer)
{
    return path.starts_with(outer) && (path.size() == outer.size() || path[outer.size()] == '.' || path[outer.size()] == '[');
}

bool checkValue(const FieldDescriptor &field, json::value &value, const std::string &path, FaultList &faults)
{
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        return checkObject(*field.message_type(), value, path, faults);
    }
    auto fault = scalarFault(field, value);
    if (fault.empty()) {
        return true;
    }
    faults.add(path, std::move(fault));
    return false;
}

// Replaces an invalid list item, so that the indices of the following items stay the same.
json::value placeholderFor(const FieldDescriptor &field)
{
    switch (field.cpp_type()) {
    case FieldDescriptor::CPPTYPE_MESSAGE:
        return json::object();
    case FieldDescriptor::CPPTYPE_STRING:
        return json::string();
    default:
        return 0;
    }
}

bool checkField(const FieldDescriptor &field, json::value &value, const std::string &path, FaultList &faults)
{
    if (!field.is_repeated()) {
        return checkValue(field, value, path, faults);
    }
    if (!value.is_array()) {
        faults.add(path, "must be an array");
        return false;
    }
    std::size_t index = 0;
    for (auto &item : value.get_array()) {
        if (!checkValue(field, item, path + "[" + std::to_string(index++) + "]", faults)) {
            item = placeholderFor(field);
        }
    }
    return true;
}

bool checkObject(const Descriptor &type, json::value &value, const std::string &path, FaultList &faults)
{
    if (!value.is_object()) {
        faults.add(path, "must be an object");
        return false;
    }
    std::vector<std::string> faulty;
    for (auto &member : value.get_object()) {
        const auto name = std::string(member.key());
        const auto *field = type.FindFieldByName(name);
        if (field == nullptr) {
            faults.add(path + "." + name, "is not a field of " + type.name());
        }
        if (field == nullptr || !checkField(*field, member.value(), path + "." + name, faults)) {
            faulty.push_back(name);
        }
    }
    for (const auto &name : faulty) {
        value.get_object().erase(name);
    }
    return true;
}

} // namespace

FaultList::FaultList(std::string file)
    : m_file(std::move(file))
{
}

void FaultList::add(std::string path, std::string reason)
{
    m_faults.push_back({m_file, std::move(path), std::move(reason)});
}

std::vector<Fault> FaultList::take()
{
    return std::move(m_faults);
}

bool FaultList::hasRelatedFault(std::string_view path) const
{
    return std::any_of(m_faults.begin(), m_faults.end(),
                       [path](const auto &fault) { return isWithin(path, fault.path) || isWithin(fault.path, path); });
}

bool FaultList::isEmpty() const
{
    return m_faults.empty();
}

bool readJson(std::string_view text, google::protobuf::Message &message, FaultList &faults)
{
    boost::system::error_code error;
    auto value = json::parse(text, error);
    if (error) {
        faults.add("$", "is not JSON: " + error.message());
        return false;
    }
    if (!checkObject(*message.GetDescriptor(), value, "$", faults)) {
        return false;
    }
    const auto readable = faults.isEmpty() ? std::string(text) : json::serialize(value);
    const auto status = google::protobuf::util::JsonStringToMessage(readable, &message);
    if (!status.ok()) {
        faults.add("$", std::string(status.message()));
    }
    return status.ok();
}

} // namespace burdock::schema::detail
