#pragma once

#include <burdock/cache/block_keys.hpp>

#include <boost/asio/awaitable.hpp>
#include <optional>
#include <string>

namespace burdock::clients {

enum class PutResult : u8 {
    Stored,
    Full,
    Failed,
};

/** @brief A store VM of kept cache. Thread-safe. */
class BlockStore
{
public:
    virtual ~BlockStore() = default;

    /** @brief Keeps a block; it is visible only once it is whole. */
    [[nodiscard]] virtual boost::asio::awaitable<PutResult> put(const cache::BlockKey &key, std::string_view payload) = 0;

    /** @brief The block, checked against its key, length and checksum; nothing if it is missing or damaged. */
    [[nodiscard]] virtual boost::asio::awaitable<std::optional<std::string>> get(const cache::BlockKey &key) = 0;
};

/**
 * @brief Wraps a block with its key, length and checksum.
 *
 * Guards against blocks that are partly written, altered or of another key: it shows as bytes that don't fit their frame.
 * Checking on the reader's side holds whatever happened to the store VM.
 */
[[nodiscard]] std::string frameBlock(const cache::BlockKey &key, std::string_view payload);

/** @brief The payload of a frame if it is whole and of this key. */
[[nodiscard]] std::optional<std::string> unframeBlock(const cache::BlockKey &key, std::string_view frame);

} // namespace burdock::clients
