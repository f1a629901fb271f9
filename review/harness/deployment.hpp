#pragma once

#include "replica.hpp"

#include <atomic>
#include <memory>
#include <sys/types.h>

namespace review {

/** Key of the first tenant, which the clients use. */
constexpr const char *ClientKey = "fqasnmgkcuyj8pjbvk9m";

enum class Verdict { Held = 0, Broken = 1, CouldNotRun = 2 };

/** @brief One gateway process, started with the command of the deploy file. */
class Gateway
{
public:
    Gateway(std::string name, std::string zone, const std::string &directory, const std::string &platform);
    ~Gateway();
    Gateway(const Gateway &) = delete;
    Gateway &operator=(const Gateway &) = delete;

    void start();
    void kill();
    [[nodiscard]] bool isRunning();
    [[nodiscard]] bool isReady() const;
    [[nodiscard]] int callerPort() const;
    /** @brief Resident memory of the process in kilobytes; 0 if it doesn't run. */
    [[nodiscard]] long residentKilobytes() const;
    [[nodiscard]] const std::string &name() const;

private:
    std::string m_name;
    std::string m_directory;
    int m_callerPort = freePort();
    int m_readinessPort = freePort();
    std::atomic<pid_t> m_pid{0};
};

/** @brief A small deployment: gateways, replicas of a model service and of a plain service, and the platform's store. */
class Deployment
{
public:
    Deployment(int argc, char **argv, std::size_t gateways, std::size_t models, std::size_t plain);
    ~Deployment();
    Deployment(const Deployment &) = delete;
    Deployment &operator=(const Deployment &) = delete;

    /** @brief Whether the run has the disruption (TROUBLE is not 0). */
    [[nodiscard]] bool hasTrouble() const;
    Record &record();
    PlatformStore &store();
    Gateway &gateway(std::size_t index);
    [[nodiscard]] std::size_t gatewayCount() const;
    Gateway &gatewayNamed(const std::string &name);
    Replica &model(std::size_t index);
    [[nodiscard]] std::size_t modelCount() const;
    Replica &plain(std::size_t index);

    [[nodiscard]] static std::string keyOf(std::size_t tenant);
    /**
     * @param tenants       number of tenants, each of which holds a key
     * @param isFirstAlone whether the first tenant is isolated
     */
    void writeConfiguration(int version, std::size_t tenants = 1, bool isFirstAlone = false);
    void nameWeights(int version);
    /** @brief Starts all gateways and waits until they are ready. */
    [[nodiscard]] bool start();
    [[nodiscard]] bool waitFor(const std::function<bool()> &condition, Milliseconds time) const;

    /** @brief Sends a request as a client does; nothing if the connection ends without a complete answer. */
    std::optional<Message> call(std::size_t gateway, const std::string &path, const std::string &attempt);
    /** @brief Returns the text of a client's request. */
    [[nodiscard]] static std::string requestText(const std::string &path, const std::string &attempt, const std::string &body,
                                                 const std::string &key = ClientKey, const std::string &headers = "");
    /** @brief Sends short requests to the gateways in turn, in the background, until the process ends. */
    void startTraffic(Milliseconds period);

    /** @brief Ends the gateways and the process. */
    [[noreturn]] void end(Verdict verdict, const std::string &reason);

private:
    std::string m_directory;
    Record m_record;
    PlatformStore m_store;
    std::vector<std::unique_ptr<Gateway>> m_gateways;
    std::vector<std::unique_ptr<Replica>> m_models;
    std::vector<std::unique_ptr<Replica>> m_plain;
};

} // namespace review
