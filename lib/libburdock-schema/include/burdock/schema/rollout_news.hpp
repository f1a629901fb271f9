#pragma once

#include <burdock/link.pb.h>
#include <burdock/rollout/order_news.hpp>

#include <optional>

namespace burdock::schema {

/** @brief Converts what one entry knows of an order to its message. */
[[nodiscard]] RolloutNews toMessage(u64 order, const rollout::OrderNews &news);

/** @brief Returns nothing if the message contains impossible values or more than an entry ever sends. */
[[nodiscard]] std::optional<rollout::OrderNews> toNews(const RolloutNews &message);

} // namespace burdock::schema
