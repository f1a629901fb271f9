#pragma once

#include <burdock/types.hpp>

#include <map>
#include <mutex>
#include <prometheus/registry.h>
#include <string>

namespace burdock::runtime {

using Labels = std::map<std::string, std::string>;

/** @brief The process's metrics, in Prometheus terms and base units (seconds, bytes). Thread-safe. */
class Metrics
{
public:
    /** @brief Adds to a counter; its name ends with _total. */
    void count(const std::string &name, const Labels &labels = {}, double amount = 1);

    void set(const std::string &name, double value, const Labels &labels = {});

    /** @brief Observes a duration; the name ends with _seconds. */
    void observe(const std::string &name, Duration duration, const Labels &labels = {});

    /** @brief What a counter has come to for each value of one of its labels. */
    [[nodiscard]] std::map<std::string, double> totals(const std::string &name, const std::string &label) const;

    /** @brief All metrics in the text exposition format. */
    [[nodiscard]] std::string text() const;

private:
    prometheus::Registry m_registry;
};

} // namespace burdock::runtime
