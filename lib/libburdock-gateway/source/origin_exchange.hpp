#pragma once

#include "gateway_state.hpp"
#include "peer_socket.hpp"

#include <burdock/link.pb.h>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <list>
#include <set>

namespace burdock::gateway {

/** @brief Result of a search for the software with which a stream began. */
struct OriginSearch
{
    std::optional<u64> software; ///< nothing if no entry has a record
    bool haveAllAnswered = false; ///< all entries that may have a record have answered
};

/**
 * @brief Keeps with which software streams began at a few entries each, so that another entry can continue a stream whose entry is gone.
 *
 * The entries that are responsible for a stream follow from its id, so any other entry knows whom to ask.
 */
class OriginExchange
{
public:
    OriginExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state, PeerSocket &socket);

    /** @brief Records the software with which a stream began, here and at the entries that are responsible for the stream. */
    void publish(u64 stream, u64 software);

    /** @brief Finds the software with which a stream began; asks the entries that are responsible if it isn't known here. */
    [[nodiscard]] boost::asio::awaitable<OriginSearch> find(u64 stream);

    /** @brief Whether a message of another entry is meant for handle(). */
    [[nodiscard]] static bool isOriginMessage(const schema::EntryLoad &message);

    /** @brief Applies records and answers, and answers questions. */
    void handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender);

private:
    /** @brief A search that waits for answers. */
    struct Search
    {
        u64 stream = 0;
        std::set<std::string, std::less<>> unanswered; ///< names of the entries that were asked
        boost::asio::steady_timer answered; ///< cancelled when the search is over
    };

    [[nodiscard]] schema::EntryLoad makeMessage() const;
    [[nodiscard]] std::set<std::string, std::less<>> responsibleOthers(u64 stream) const;
    void applyAnswer(const std::string &entry, u64 stream, bool isKnown);

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    PeerSocket &m_socket;
    std::list<Search> m_searches;
};

} // namespace burdock::gateway
