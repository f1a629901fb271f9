#pragma once

#include "gateway_state.hpp"
#include "reading_exchange.hpp"

#include <burdock/run/software_record.hpp>

#include <boost/asio/awaitable.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <vector>

namespace burdock::gateway {

/**
 * @brief Knows with which software a stream can have begun that its caller takes up.
 *
 * Keeps a record of each service with resumable streams in the platform's store, for entries that start after others have ended.
 */
class SoftwareKeeper
{
public:
    SoftwareKeeper(const GatewayDependencies &dependencies, const GatewaySettings &settings, GatewayState &state,
                   const ReadingExchange &reading);

    /** @brief Keeps the records up to date, until the process ends. */
    [[nodiscard]] boost::asio::awaitable<void> run();

    /** @brief Whether a resumable stream may begin with this software: it is recorded, or can't be for too long. */
    [[nodiscard]] bool mayBegin(std::string_view service, u64 software);

    /** @brief Whether endpoints of a service are not used for new streams only because their software isn't recorded yet. */
    [[nodiscard]] bool isRecording(std::string_view service);

    /** @brief The only software that endpoints of a service had in that time before now; nothing if there were several, or if unknown. */
    [[nodiscard]] boost::asio::awaitable<std::optional<u64>> findSole(std::string service, Duration before);

private:
    /** @brief A caller of confirmEndpoints() that waits for a read of the store that begins after its call. */
    struct Waiter
    {
        boost::asio::steady_timer done;
        bool isConfirmed = false;
    };

    [[nodiscard]] std::map<std::string, Duration, std::less<>> servicesWithStreams() const;
    [[nodiscard]] bool isRead() const;
    [[nodiscard]] boost::asio::awaitable<bool> read();
    [[nodiscard]] boost::asio::awaitable<void> update(const std::string &service, Duration retention);
    [[nodiscard]] boost::asio::awaitable<void> write(const std::string &service, run::SoftwareSet software);
    [[nodiscard]] Duration turnDelay(std::string_view service) const;
    [[nodiscard]] boost::asio::awaitable<bool> confirmEndpoints();
    [[nodiscard]] boost::asio::awaitable<void> serveWaiters();
    [[nodiscard]] boost::asio::awaitable<bool> readChanges();

    const GatewayDependencies &m_dependencies;
    const GatewaySettings &m_settings;
    GatewayState &m_state;
    const ReadingExchange &m_reading;
    std::map<std::string, run::SoftwareRecord, std::less<>> m_records; ///< by service
    std::optional<TimePoint> m_readAt; ///< start of the last read of all records
    std::map<std::string, TimePoint, std::less<>> m_wrongSince; ///< since when the record of a service has to be changed
    std::map<u64, TimePoint> m_unrecordedSince; ///< since when streams wait for software to be recorded
    std::vector<std::shared_ptr<Waiter>> m_waiters; ///< for the next read; shared, as a caller may give up during the read
    bool m_isServingWaiters = false;
};

} // namespace burdock::gateway
