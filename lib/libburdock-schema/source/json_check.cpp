#include "json_check.hpp"

#include <boost/json.hpp>
#include <google/protobuf/descriptor.h>
#include <google/protobuf/util/json_util.h>

#include <limits>

namespace burdock::schema::detail {

namespace {

using google::protobuf::Descriptor;
using google::protobuf::FieldDescriptor;
namespace json = boost::json;

constexpr double MostExact = 9007199254740992.0; // 2^53
constexpr std::size_t MostDigits = 16;

void checkObject(const Descriptor &type, const json::value &value, const std::string &path, FaultList &faults);

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
    return text != nullptr && !text->empty() && text->size() <= MostDigits
        && std::string_view(*text).find_first_not_of("0123456789") == std::string_view::npos;
}

// What is wrong with a value of a scalar field; empty if nothing is.
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
        // Protobuf's JSON writes 64-bit numbers as strings, so bundles that our tools wrote hold them in that form.
        return isWholeNumber(value, 0, MostExact) || isDigits(value) ? "" : "must be a whole number from 0 to 2^53";
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

void checkValue(const FieldDescriptor &field, const json::value &value, const std::string &path, FaultList &faults)
{
    if (field.cpp_type() == FieldDescriptor::CPPTYPE_MESSAGE) {
        checkObject(*field.message_type(), value, path, faults);
        return;
    }
    if (auto fault = scalarFault(field, value); !fault.empty()) {
        faults.add(path, std::move(fault));
    }
}

void checkField(const FieldDescriptor &field, const json::value &value, const std::string &path, FaultList &faults)
{
    if (!field.is_repeated()) {
        checkValue(field, value, path, faults);
        return;
    }
    if (!value.is_array()) {
        faults.add(path, "must be an array");
        return;
    }
    std::size_t index = 0;
    for (const auto &item : value.get_array()) {
        checkValue(field, item, path + "[" + std::to_string(index++) + "]", faults);
    }
}

void checkObject(const Descriptor &type, const json::value &value, const std::string &path, FaultList &faults)
{
    if (!value.is_object()) {
        faults.add(path, "must be an object");
        return;
    }
    for (const auto &member : value.get_object()) {
        const auto name = std::string(member.key());
        const auto *field = type.FindFieldByName(name);
        if (field == nullptr) {
            faults.add(path + "." + name, "is not a field of " + type.name());
            continue;
        }
        checkField(*field, member.value(), path + "." + name, faults);
    }
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

bool FaultList::isEmpty() const
{
    return m_faults.empty();
}

void readJson(std::string_view text, google::protobuf::Message &message, FaultList &faults)
{
    boost::system::error_code error;
    const auto value = json::parse(text, error);
    if (error) {
        faults.add("$", "is not JSON: " + error.message());
        return;
    }
    checkObject(*message.GetDescriptor(), value, "$", faults);
    if (!faults.isEmpty()) {
        return;
    }
    const auto status = google::protobuf::util::JsonStringToMessage(std::string(text), &message);
    if (!status.ok()) {
        faults.add("$", std::string(status.message()));
    }
}

} // namespace burdock::schema::detail
