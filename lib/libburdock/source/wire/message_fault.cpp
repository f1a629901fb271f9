#include <burdock/wire/message_fault.hpp>

#include <array>

namespace burdock::wire {

namespace {

constexpr std::array<std::string_view, 15> FaultNames{"none",       "bad_line_end",       "control_byte",        "bad_start_line",
                                                      "bad_target", "bad_version",        "bad_status",          "bad_field_name",
                                                      "bad_host",   "bad_content_length", "bad_transfer_coding", "content_coding",
                                                      "bad_chunk",  "bad_trailer",        "head_too_long"};

} // namespace

std::string_view toString(MessageFault fault)
{
    return FaultNames.at(static_cast<std::size_t>(fault));
}

} // namespace burdock::wire
