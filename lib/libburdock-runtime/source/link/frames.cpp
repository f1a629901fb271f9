#include "frames.hpp"

namespace burdock::runtime::link::detail {

void appendMessage(Frames &frames, std::string message)
{
    if (message.size() <= MaxFrameBytes) {
        frames.push_back(std::move(message));
        return;
    }
    for (std::size_t begin = 0; begin < message.size(); begin += MaxFrameBytes) {
        frames.push_back(message.substr(begin, MaxFrameBytes));
    }
}

std::string joinMessage(const Frames &frames, std::size_t first)
{
    std::string message;
    std::size_t size = 0;
    for (std::size_t i = first; i < frames.size(); ++i) {
        size += frames[i].size();
    }
    message.reserve(size);
    for (std::size_t i = first; i < frames.size(); ++i) {
        message += frames[i];
    }
    return message;
}

} // namespace burdock::runtime::link::detail
