#pragma once

#include <burdock/runtime/clock.hpp>
#include <burdock/runtime/random_source.hpp>

#include <deque>
#include <mutex>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace burdock::runtime {

/** @brief Identifies a span; the ids are 32 and 16 lower-case hex digits. */
struct SpanContext
{
    std::string traceId;
    std::string spanId;
};

/** @brief Parses a W3C `traceparent` header; the ids are empty if it is malformed. */
[[nodiscard]] SpanContext parseTraceparent(std::string_view header);
[[nodiscard]] std::string toTraceparent(const SpanContext &context);

class Tracer;

/** @brief A span of a trace; recorded when it is destroyed. */
class Span
{
public:
    /** @param parent the parent span; empty ids start a new trace */
    Span(Tracer &tracer, std::string_view name, const SpanContext &parent);
    ~Span();
    Span(const Span &) = delete;
    Span &operator=(const Span &) = delete;

    [[nodiscard]] const SpanContext &context() const;
    void setAttribute(std::string_view key, std::string value);

private:
    Tracer &m_tracer;
    std::string m_name;
    SpanContext m_context;
    std::string m_parentId;
    i64 m_startNs;
    std::vector<std::pair<std::string, std::string>> m_attributes;
    friend class Tracer;
};

/** @brief Keeps the most recent spans as OTLP/JSON lines for /tracez. Thread-safe. */
class Tracer
{
public:
    /** @param capacity maximum number of spans; the oldest ones are dropped first */
    Tracer(std::string_view process, RandomSource &random, std::size_t capacity);

    /** @brief The spans of one trace, or all spans if the id is empty; one JSON object per line. */
    [[nodiscard]] std::string lines(std::string_view traceId) const;

private:
    friend class Span;
    void record(const Span &span);

    struct Recorded
    {
        std::string traceId;
        std::string line;
    };

    std::string m_process;
    RandomSource &m_random;
    std::size_t m_capacity;
    mutable std::mutex m_mutex;
    std::deque<Recorded> m_spans;
};

} // namespace burdock::runtime
