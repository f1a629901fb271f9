#pragma once

#include <burdock/types.hpp>

#include <cstddef>
#include <deque>
#include <optional>
#include <unordered_map>

namespace burdock::run {

/** @brief Remembers with which endpoint software streams began, so that they continue only with the same. Not thread-safe. */
class StreamOrigins
{
public:
    /**
     * @param retention how long a stream is remembered; must exceed the time that callers wait for one
     * @param capacity number of streams beyond which the oldest ones are forgotten
     */
    StreamOrigins(Duration retention, std::size_t capacity);

    /** @brief Records a stream; the first record of a stream counts. */
    void note(u64 stream, u64 software, TimePoint now);

    [[nodiscard]] std::optional<u64> find(u64 stream) const;

private:
    struct Record
    {
        u64 stream = 0;
        TimePoint notedAt{};
    };

    void forgetExpired(TimePoint now);

    Duration m_retention;
    std::size_t m_capacity;
    std::unordered_map<u64, u64> m_software; ///< by stream
    std::deque<Record> m_records; ///< the oldest first
};

/** @brief What is known of where a stream began that its caller takes up. */
struct OriginKnowledge
{
    bool isNamed = false; ///< the caller names the attempt that began the stream
    std::optional<u64> recorded; ///< software with which the stream began, as recorded by any entry
    bool haveAllAnswered = false; ///< all entries that may have a record were asked and have answered
    std::optional<u64> soleAllAlong; ///< software of all endpoints, if there was no other for as long as the stream can be old
};

/** @brief The software that a stream may continue with; nothing if that isn't known, so that it must not continue. */
[[nodiscard]] std::optional<u64> softwareToContinueWith(const OriginKnowledge &known);

} // namespace burdock::run
