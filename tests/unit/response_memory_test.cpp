#include <burdock/run/response_memory.hpp>

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace burdock;
using namespace burdock::run;

namespace {

constexpr u64 TotalBytes = 16 * 1024 * 1024;
constexpr u64 StepBytes = 16 * 1024;
constexpr u64 ShortBytes = 8 * 1024;

} // namespace

TEST_CASE("one response may take a part of the memory, and returns it at its end")
{
    ResponseMemory memory(TotalBytes);
    {
        ResponseShare share(memory);
        CHECK(share.tryResize(TotalBytes / 8));
        CHECK(memory.usedBytes() == TotalBytes / 8);
        CHECK_FALSE(share.tryResize(TotalBytes / 2));
        CHECK(memory.usedBytes() == TotalBytes / 8);
        CHECK(share.tryResize(StepBytes));
        CHECK(memory.usedBytes() == StepBytes);
    }
    CHECK(memory.usedBytes() == 0);
}

// Guards against long responses that leave no memory for the short ones of other calls.
TEST_CASE("however many responses grow without end, a short one still has room")
{
    for (const u32 count : {1U, 50U, 500U}) {
        CAPTURE(count);
        ResponseMemory memory(TotalBytes);
        std::vector<std::unique_ptr<ResponseShare>> shares;
        for (u32 i = 0; i < count; ++i) {
            shares.push_back(std::make_unique<ResponseShare>(memory));
        }
        bool isAnyGrowing = true;
        for (u64 bytes = StepBytes; isAnyGrowing; bytes += StepBytes) {
            isAnyGrowing = false;
            for (auto &share : shares) {
                isAnyGrowing = share->tryResize(bytes) || isAnyGrowing;
            }
        }
        CHECK(memory.usedBytes() <= TotalBytes);
        ResponseShare further(memory);
        CHECK(further.tryResize(ShortBytes));
    }
}

TEST_CASE("the memory for responses follows that of the process")
{
    CHECK(responseMemoryBytes(128) == TotalBytes);
    CHECK(responseMemoryBytes(0) > 0);
}
