#include "scanned_input.hpp"

namespace burdock::runtime::http::detail {

boost::system::error_code toErrorCode(wire::MessageFault fault)
{
    using boost::beast::http::error;
    using wire::MessageFault;
    switch (fault) {
    case MessageFault::None:
        return {};
    case MessageFault::BadLineEnd:
        return error::bad_line_ending;
    case MessageFault::ControlByte:
        return error::bad_value;
    case MessageFault::BadStartLine:
        return error::bad_method;
    case MessageFault::BadTarget:
        return error::bad_target;
    case MessageFault::BadVersion:
        return error::bad_version;
    case MessageFault::BadStatus:
        return error::bad_status;
    case MessageFault::BadFieldName:
    case MessageFault::BadHost:
    case MessageFault::BadTrailer:
        return error::bad_field;
    case MessageFault::BadContentLength:
        return error::bad_content_length;
    case MessageFault::BadTransferCoding:
    case MessageFault::ContentCoding:
        return error::bad_transfer_encoding;
    case MessageFault::BadChunk:
        return error::bad_chunk;
    case MessageFault::HeadTooLong:
        return error::header_limit;
    }
    return error::bad_value;
}

} // namespace burdock::runtime::http::detail
