#pragma once

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <support/child_process.hpp>

namespace support {

/** @brief One gateway as a real process on loopback; it may be started again with the settings that it had. */
class GatewayProcess
{
public:
    /**
     * @param name of the VM that it stands for
     * @param platform address of the users' store, or of a proxy before it
     * @param changes settings that differ from the tests' usual ones
     */
    GatewayProcess(const std::string &name, const std::string &zone, const std::string &platform, const boost::json::object &changes = {});

    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /** @brief Starts the process; an earlier one must have ended. */
    void start();

    [[nodiscard]] ChildProcess &process();
    [[nodiscard]] const std::string &callerAddress() const;
    [[nodiscard]] const std::string &readinessAddress() const;
    [[nodiscard]] const std::string &metricsAddress() const;

    /** @brief All that it wrote, over all its starts. */
    [[nodiscard]] std::string log() const;

    /** @brief Leaves the log where it is after the end; its path. */
    [[nodiscard]] std::string keepLog();

private:
    std::string m_folder;
    bool m_isLogKept = false;
    std::string m_callers;
    std::string m_readiness;
    std::string m_metrics;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace support
