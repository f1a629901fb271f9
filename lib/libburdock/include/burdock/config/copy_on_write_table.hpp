#pragma once

#include <burdock/types.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdock::config {

/**
 * @brief Hash table whose copies share all unchanged buckets.
 *
 * With 44,000 customers and one change per second, copying whole tables would exceed the share of a VM that may be spent on control.
 * A copy is an independent value, and the mapped values are immutable, so copies can be read on any thread.
 */
template <typename Value>
class CopyOnWriteTable
{
public:
    using ValuePointer = std::shared_ptr<const Value>;

    CopyOnWriteTable()
        : m_buckets(BucketCount, std::make_shared<const Bucket>())
    {
    }

    explicit CopyOnWriteTable(const std::vector<std::pair<std::string, ValuePointer>> &items)
        : CopyOnWriteTable()
    {
        std::vector<Bucket> buckets(BucketCount);
        for (const auto &[key, value] : items) {
            buckets[indexOf(key)][key] = value;
        }
        for (std::size_t i = 0; i < BucketCount; ++i) {
            m_buckets[i] = std::make_shared<const Bucket>(std::move(buckets[i]));
        }
    }

    /** @brief Returns the value of a key, or null. */
    [[nodiscard]] ValuePointer find(const std::string &key) const
    {
        const auto &bucket = *m_buckets[indexOf(key)];
        const auto item = bucket.find(key);
        return item == bucket.end() ? nullptr : item->second;
    }

    void put(const std::string &key, ValuePointer value)
    {
        auto &bucketPointer = m_buckets[indexOf(key)];
        auto bucket = *bucketPointer;
        bucket[key] = std::move(value);
        bucketPointer = std::make_shared<const Bucket>(std::move(bucket));
    }

    void remove(const std::string &key)
    {
        auto &bucketPointer = m_buckets[indexOf(key)];
        auto bucket = *bucketPointer;
        if (bucket.erase(key) > 0) {
            bucketPointer = std::make_shared<const Bucket>(std::move(bucket));
        }
    }

private:
    using Bucket = std::unordered_map<std::string, ValuePointer>;
    static constexpr std::size_t BucketCount = 1024;

    [[nodiscard]] static std::size_t indexOf(std::string_view key)
    {
        return std::hash<std::string_view>{}(key) % BucketCount;
    }

    std::vector<std::shared_ptr<const Bucket>> m_buckets;
};

} // namespace burdock::config
