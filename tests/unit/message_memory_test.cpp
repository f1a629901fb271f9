#include <burdock/run/message_memory.hpp>

#include <doctest/doctest.h>
#include <memory>
#include <numeric>
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
    MessageMemory memory(TotalBytes);
    {
        MessageShare share(memory);
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
        MessageMemory memory(TotalBytes);
        std::vector<std::unique_ptr<MessageShare>> shares;
        for (u32 i = 0; i < count; ++i) {
            shares.push_back(std::make_unique<MessageShare>(memory));
        }
        bool isAnyGrowing = true;
        for (u64 bytes = StepBytes; isAnyGrowing; bytes += StepBytes) {
            isAnyGrowing = false;
            for (auto &share : shares) {
                isAnyGrowing = share->tryResize(bytes) || isAnyGrowing;
            }
        }
        CHECK(memory.usedBytes() <= TotalBytes);
        MessageShare further(memory);
        CHECK(further.tryResize(ShortBytes));
    }
}

// Guards against responses in tiny HTTP chunks that keep a process busy for as long as they take to reach their bytes.
TEST_CASE("responses in tiny HTTP chunks end after far fewer bytes, however many there are")
{
    constexpr u64 ChunkBytes = 8;
    constexpr u64 StepChunks = 128;
    for (const u32 count : {1U, 50U, 500U}) {
        CAPTURE(count);
        MessageMemory memory(TotalBytes);
        std::vector<std::unique_ptr<MessageShare>> shares;
        for (u32 i = 0; i < count; ++i) {
            shares.push_back(std::make_unique<MessageShare>(memory));
        }
        std::vector<u64> chunks(count, StepChunks);
        bool isAnyGrowing = true;
        while (isAnyGrowing) {
            isAnyGrowing = false;
            for (u32 i = 0; i < count; ++i) {
                const bool isGrowing = shares[i]->tryResize(chunks[i] * ChunkBytes, chunks[i]);
                chunks[i] += isGrowing ? StepChunks : 0;
                isAnyGrowing = isAnyGrowing || isGrowing;
            }
        }
        const auto allChunks = std::accumulate(chunks.begin(), chunks.end(), u64{0});
        CHECK(allChunks * ChunkBytes <= TotalBytes / 8 + count * StepChunks * ChunkBytes);
    }
}

TEST_CASE("the memory for responses follows that of the process")
{
    CHECK(responseMemoryBytes(128) == TotalBytes);
    CHECK(responseMemoryBytes(0) > 0);
}

// Guards against an endpoint that is blamed for a short response which finds no memory beside those of others.
TEST_CASE("a response is too long only if it doesn't fit alone")
{
    MessageMemory memory(TotalBytes);
    std::vector<std::unique_ptr<MessageShare>> shares;
    while (true) {
        shares.push_back(std::make_unique<MessageShare>(memory));
        if (!shares.back()->tryResize(ShortBytes)) {
            break;
        }
    }
    CHECK_FALSE(memory.isTooLong(ShortBytes, 0));
    CHECK_FALSE(memory.isTooLong(TotalBytes / 5, 0));
    CHECK(memory.isTooLong(TotalBytes / 4, 0));
    CHECK(memory.isTooLong(ShortBytes, TotalBytes / 4 / 64));
    shares.clear();
    MessageShare alone(memory);
    CHECK(alone.tryResize(TotalBytes / 5));
    CHECK_FALSE(alone.tryResize(TotalBytes / 4));
}
