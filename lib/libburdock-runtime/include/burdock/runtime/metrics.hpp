#pragma once

#include <burdock/types.hpp>

#include <map>
#include <mutex>
#include <prometheus/registry.h>
#include <string>

namespace burdock::runtime {

using Labels = std::map<std::string, std::string>;

/** @brief The Prometheus metrics of the process, in base units (seconds, bytes). Thread-safe. */
class Metrics
{
public:
    /** @brief Increments a counter; the name must end with `_total`. */
    void count(const std::string &name, const Labels &labels = {}, double amount = 1);

    /** @brief Sets a gauge. */
    void set(const std::string &name, double value, const Labels &labels = {});

    /** @brief Adds a duration to a histogram; the name must end with `_seconds`. */
    void observe(const std::string &name, Duration duration, const Labels &labels = {});

    /** @brief The sums of a counter, grouped by the values of one label. */
    [[nodiscard]] std::map<std::string, double> totals(const std::string &name, const std::string &label) const;

    /** @brief All metrics in the Prometheus text format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
};

} // namespace burdock::runtime
