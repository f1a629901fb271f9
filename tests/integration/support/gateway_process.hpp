#pragma once

#include <boost/json/object.hpp>
#include <memory>
#include <string>
#include <support/child_process.hpp>

namespace support {

/** @brief One gateway as a real process on loopback; it can be restarted with the same settings. */
class GatewayProcess
{
public:
    /**
     * @param name name of the VM that the process represents
     * @param platform address of the platform's object store, or of a proxy in front of it
     * @param overrides settings that replace the defaults of the tests
     */
    GatewayProcess(const std::string &name, const std::string &zone, const std::string &platform,
                   const boost::json::object &overrides = {});

    ~GatewayProcess();
    GatewayProcess(const GatewayProcess &) = delete;
    GatewayProcess &operator=(const GatewayProcess &) = delete;

    /** @brief Starts the process; an earlier one must have exited. */
    void start();

    [[nodiscard]] ChildProcess &process();
    [[nodiscard]] const std::string &callerAddress() const;
    [[nodiscard]] const std::string &readinessAddress() const;
    [[nodiscard]] const std::string &metricsAddress() const;
    /** @brief Address for datagrams of other gateways. */
    [[nodiscard]] const std::string &loadAddress() const;

    /** @brief Output of the process since its first start. */
    [[nodiscard]] std::string log() const;

    /** @brief Keeps the log file when this object is destroyed; returns its path. */
    [[nodiscard]] std::string keepLog();

private:
    std::string m_directory;
    bool m_isLogKept = false;
    std::string m_callerAddress;
    std::string m_readinessAddress;
    std::string m_metricsAddress;
    std::string m_loadAddress;
    std::unique_ptr<ChildProcess> m_process;
};

} // namespace support
