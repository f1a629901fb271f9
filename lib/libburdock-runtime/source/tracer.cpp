#include <burdock/runtime/tracer.hpp>

#include <burdock/hash/digest.hpp>

#include <boost/json.hpp>
#include <chrono>

namespace burdock::runtime {

namespace {

constexpr std::size_t TraceIdDigits = 32;
constexpr std::size_t SpanIdDigits = 16;
constexpr std::size_t TraceparentLength = 55;
constexpr std::size_t TraceIdBegin = 3;
constexpr std::size_t SpanIdBegin = 36;

i64 wallClockNs()
{
    return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

bool isHex(std::string_view text)
{
    return text.find_first_not_of("0123456789abcdef") == std::string_view::npos;
}

} // namespace

SpanContext parseTraceparent(std::string_view header)
{
    if (header.size() != TraceparentLength || !header.starts_with("00-")) {
        return {};
    }
    const auto traceId = header.substr(TraceIdBegin, TraceIdDigits);
    const auto spanId = header.substr(SpanIdBegin, SpanIdDigits);
    if (!isHex(traceId) || !isHex(spanId)) {
        return {};
    }
    return {std::string(traceId), std::string(spanId)};
}

std::string toTraceparent(const SpanContext &context)
{
    return "00-" + context.traceId + "-" + context.spanId + "-01";
}

Span::Span(Tracer &tracer, std::string_view name, const SpanContext &parent)
    : m_tracer(tracer)
    , m_name(name)
    , m_context(parent)
    , m_parentId(parent.spanId)
    , m_startNs(wallClockNs())
{
    if (m_context.traceId.empty()) {
        m_context.traceId = hash::toHex(tracer.m_random.bytes(TraceIdDigits / 2));
    }
    m_context.spanId = hash::toHex(tracer.m_random.bytes(SpanIdDigits / 2));
}

Span::~Span()
{
    m_tracer.record(*this);
}

const SpanContext &Span::context() const
{
    return m_context;
}

void Span::setAttribute(std::string_view key, std::string value)
{
    m_attributes.emplace_back(key, std::move(value));
}

Tracer::Tracer(std::string_view process, RandomSource &random, std::size_t capacity)
    : m_process(process)
    , m_random(random)
    , m_capacity(capacity)
{
}

void Tracer::record(const Span &span)
{
    boost::json::object line;
    line["traceId"] = span.m_context.traceId;
    line["spanId"] = span.m_context.spanId;
    line["parentSpanId"] = span.m_parentId;
    line["name"] = span.m_name;
    line["startTimeUnixNano"] = std::to_string(span.m_startNs);
    line["endTimeUnixNano"] = std::to_string(wallClockNs());
    boost::json::array attributes;
    attributes.push_back({{"key", "host.name"}, {"value", {{"stringValue", m_process}}}});
    for (const auto &[key, value] : span.m_attributes) {
        attributes.push_back({{"key", key}, {"value", {{"stringValue", value}}}});
    }
    line["attributes"] = std::move(attributes);
    const std::lock_guard lock(m_mutex);
    m_spans.push_back({span.m_context.traceId, boost::json::serialize(line)});
    if (m_spans.size() > m_capacity) {
        m_spans.pop_front();
    }
}

std::string Tracer::lines(std::string_view traceId) const
{
    std::string out;
    const std::lock_guard lock(m_mutex);
    for (const auto &span : m_spans) {
        if (traceId.empty() || span.traceId == traceId) {
            out += span.line + "\n";
        }
    }
    return out;
}

} // namespace burdock::runtime
