#include <burdock/runtime/metrics.hpp>

#include <algorithm>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/text_serializer.h>

namespace burdock::runtime {

namespace {

constexpr double MicrosecondsPerSecond = 1e6;

const prometheus::Histogram::BucketBoundaries &latencyBuckets()
{
    static const prometheus::Histogram::BucketBoundaries s_buckets{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25,
                                                                   0.41,  1,      2.5,   5,    10,    30,   60};
    return s_buckets;
}

} // namespace

void Metrics::count(const std::string &name, const Labels &labels, double amount)
{
    prometheus::BuildCounter().Name(name).Register(m_registry).Add(labels).Increment(amount);
}

void Metrics::set(const std::string &name, double value, const Labels &labels)
{
    prometheus::BuildGauge().Name(name).Register(m_registry).Add(labels).Set(value);
}

void Metrics::observe(const std::string &name, Duration duration, const Labels &labels)
{
    auto &family = prometheus::BuildHistogram().Name(name).Register(m_registry);
    family.Add(labels, latencyBuckets()).Observe(static_cast<double>(duration.count()) / MicrosecondsPerSecond);
}

std::map<std::string, double> Metrics::totals(const std::string &name, const std::string &label) const
{
    std::map<std::string, double> out;
    for (const auto &family : m_registry.Collect()) {
        if (family.name != name) {
            continue;
        }
        for (const auto &metric : family.metric) {
            const auto found
                = std::find_if(metric.label.begin(), metric.label.end(), [&label](const auto &pair) { return pair.name == label; });
            out[found == metric.label.end() ? "" : found->value] += metric.counter.value;
        }
    }
    return out;
}

std::string Metrics::text() const
{
    return prometheus::TextSerializer().Serialize(m_registry.Collect());
}

} // namespace burdock::runtime
