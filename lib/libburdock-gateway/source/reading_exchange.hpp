#pragma once

#include "gateway_state.hpp"
#include "peer_socket.hpp"

#include <burdock/link.pb.h>
#include <burdock/reading/present_entries.hpp>
#include <burdock/reading/reading_duty.hpp>

#include <array>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

namespace burdock::gateway {

/** @brief Passes on among the entries what some of them read in the platform's store, so that not all have to read it. */
class ReadingExchange
{
public:
    ReadingExchange(const GatewayDependencies &dependencies, const GatewaySettings &settings, const GatewayState &state,
                    PeerSocket &socket);

    /** @brief Callbacks of the follower of one kind. */
    struct Listener
    {
        std::function<void(const ObjectChanges &)> onChanges; ///< changes that another entry has read
        std::function<void(TimePoint)> onConfirmed; ///< all changes before this time are known, by the word of another entry
    };

    /** @brief Must be called for a kind before any other function with it. */
    void follow(ObjectKind kind, Listener listener);

    /** @param reportPeriod how often entries report to each other at least */
    void setEntries(const std::vector<std::string> &names, Duration reportPeriod);

    /** @brief Notes that another entry is there. */
    void noteHeard(std::string_view entry);

    [[nodiscard]] const reading::FollowedKind &known(ObjectKind kind) const;

    /** @brief How long a watch of this kind should wait, if its follower would wait for `ownWait` by itself. */
    [[nodiscard]] Duration watchTime(ObjectKind kind, Duration ownWait);

    /** @brief Waits until this entry has to read this kind; returns at once if nobody does it instead. */
    [[nodiscard]] boost::asio::awaitable<void> waitForTurn(ObjectKind kind);

    /** @brief Whether others may read this kind for this entry, or this entry for others. */
    [[nodiscard]] bool isShared(ObjectKind kind) const;

    /** @brief Records a complete list, and announces it if this entry reads for others and may have missed changes before. */
    void noteListed(ObjectKind kind, u64 revision, TimePoint started);

    /**
     * @brief Records what a watch returned, and passes changes on if this entry reads for others.
     * @param since revision that the watch began at
     * @return whether the changes must be applied
     */
    [[nodiscard]] bool noteRead(ObjectKind kind, u64 since, const ObjectChanges &changes, TimePoint started);

    /** @brief Records that all changes of a kind before this time are known. */
    void noteComplete(ObjectKind kind, TimePoint asOf);

    /** @brief Asks other entries how old their knowledge is, until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> askOthers();

    /** @brief Whether a message of another entry is meant for handle(). */
    [[nodiscard]] static bool isReadingMessage(const schema::EntryLoad &message);

    void handle(const schema::EntryLoad &message, const PeerSocket::Endpoint &sender);

private:
    static constexpr std::size_t KindCount = static_cast<std::size_t>(ObjectKind::Rollouts) + 1;
    /** The kinds up to this number are shared; all other ones each entry reads for itself. */
    static constexpr std::size_t SharedKindCount = static_cast<std::size_t>(ObjectKind::Weights) + 1;

    struct Role
    {
        bool isShared = false;
        bool isReader = false;

        bool operator==(const Role &other) const = default;
    };

    struct Kind
    {
        reading::FollowedKind known;
        Listener listener;
        std::optional<boost::asio::steady_timer> turn; ///< expires when this entry has to read by itself
        bool mustReadAtOnce = false; ///< the next watch doesn't wait, as other entries read than before
    };

    [[nodiscard]] Kind &at(ObjectKind kind);
    [[nodiscard]] const Kind &at(ObjectKind kind) const;
    [[nodiscard]] bool isAnyOverdue(TimePoint now) const;
    [[nodiscard]] schema::EntryLoad makeMessage() const;
    void noteOwnRead(ObjectKind kind);
    void wakeDueReaders();
    void tellChanges(ObjectKind kind, u64 since, const ObjectChanges &changes);
    void announce(ObjectKind kind, u64 revision);
    void answer(const schema::ReadingQuestion &question, u64 askerBootId, const PeerSocket::Endpoint &asker);
    void applyAnswer(const schema::ReadingAnswer &answer);
    void applyChanges(const schema::ObjectChangeSet &message);
    /** @brief Chooses the readers again if other entries are there than before. */
    void updateDuty();
    void logRole();

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    const GatewayState &m_state;
    PeerSocket &m_socket;
    TimePoint m_startedAt;
    reading::ReadingPolicy m_policy;
    std::size_t m_listedCount = 0;
    reading::PresentEntries m_present;
    reading::ReadingDuty m_duty;
    std::array<Kind, KindCount> m_kinds;
    std::optional<Role> m_loggedRole;
};

} // namespace burdock::gateway
