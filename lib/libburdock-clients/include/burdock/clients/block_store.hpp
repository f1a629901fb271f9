#pragma once

#include <burdock/cache/block_keys.hpp>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace burdock::clients {

/** @brief Result of storing a block; Full if the store VM has no space left. */
enum class PutResult : u8 {
    Stored,
    Full,
    Failed,
};

/** @brief A VM that stores KV cache blocks outside the engines. Thread-safe. */
class BlockStore
{
public:
    virtual ~BlockStore() = default;

    /** @brief Stores a block; readers see it only once it is complete. */
    [[nodiscard]] virtual boost::asio::awaitable<PutResult> put(const cache::BlockKey &key, std::string_view payload) = 0;

    /** @brief The payload of a block, verified against its key, length and checksum; nullopt if it is missing or corrupt. */
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<std::string>> get(const cache::BlockKey &key) = 0;
};

/**
 * @brief Prepends the key, length and checksum to a block.
 *
 * The reader verifies them to detect blocks that are truncated, corrupt or stored under another key, whatever happened on the store VM.
 */
[[nodiscard]] std::string frameBlock(const cache::BlockKey &key, std::string_view payload);

/** @brief The payload of a frame; nullopt if the frame is incomplete, corrupt or of another key. */
[[nodiscard]] std::optional<std::string> unframeBlock(const cache::BlockKey &key, std::string_view frame);

} // namespace burdock::clients
