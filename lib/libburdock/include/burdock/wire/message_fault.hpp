#pragma once

#include <burdock/types.hpp>

#include <string_view>

namespace burdock::wire {

/** @brief Why a message can't be read as HTTP/1.1. */
enum class MessageFault : u8 {
    None,
    BadLineEnd, ///< a line ends with anything but CR LF, or holds a CR
    ControlByte,
    BadStartLine,
    BadTarget,
    BadVersion,
    BadStatus,
    BadFieldName,
    BadHost,
    BadContentLength,
    BadTransferCoding,
    ContentCoding, ///< of an answer; nobody asks for one
    BadChunk,
    BadTrailer,
    HeadTooLong, ///< a head, the trailers or the line before a chunk exceed their limit
};

[[nodiscard]] std::string_view toString(MessageFault fault);

} // namespace burdock::wire
