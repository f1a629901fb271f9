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
 * @brief A table of which a changed copy shares all but the changed buckets with the original.
 *
 * With 44,000 customers and a change a second, copying whole tables would take more than a node may spend on control. A copy is a
 * value of its own; values are immutable, so copies may be read on any thread.
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

    /** @brief The value, or null. */
    [[nodiscard]] ValuePointer find(const std::string &key) const
    {
        const auto &bucket = *m_buckets[indexOf(key)];
        const auto found = bucket.find(key);
        return found == bucket.end() ? nullptr : found->second;
    }

    void put(const std::string &key, ValuePointer value)
    {
        auto &slot = m_buckets[indexOf(key)];
        auto bucket = *slot;
        bucket[key] = std::move(value);
        slot = std::make_shared<const Bucket>(std::move(bucket));
    }

    void remove(const std::string &key)
    {
        auto &slot = m_buckets[indexOf(key)];
        auto bucket = *slot;
        if (bucket.erase(key) > 0) {
            slot = std::make_shared<const Bucket>(std::move(bucket));
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
