#include <burdock/run/body_framing.hpp>

#include <array>

namespace burdock::run {

namespace {

constexpr std::array<std::string_view, 3> FramingNames{"content_length", "chunked", "until_close"};

} // namespace

std::string_view toString(BodyFraming framing)
{
    return FramingNames.at(static_cast<std::size_t>(framing));
}

} // namespace burdock::run
