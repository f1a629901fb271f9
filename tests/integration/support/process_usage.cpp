#include <support/process_usage.hpp>

#include <support/endless_endpoint.hpp>

#include <burdock/runtime/http/message.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace support {

namespace {

constexpr auto SamplePeriod = std::chrono::milliseconds(10);
constexpr u64 BytesPerKib = 1024;
constexpr int Hexadecimal = 16;

u64 fromHex(const std::string &text)
{
    return std::stoull(text, nullptr, Hexadecimal);
}

} // namespace

ProcessUsage::ProcessUsage(pid_t pid, const std::set<std::string> &listeners)
    : m_pid(pid)
{
    for (const auto &listener : listeners) {
        m_ports.insert(runtime::http::parseAddress(listener).port);
    }
    m_thread = std::thread([this] { run(); });
}

ProcessUsage::~ProcessUsage()
{
    m_isStopping = true;
    m_thread.join();
}

u64 ProcessUsage::peakKib() const
{
    return std::max<u64>(m_peakKib, support::peakKib(m_pid));
}

u64 ProcessUsage::peakDescriptors() const
{
    return m_peakDescriptors;
}

void ProcessUsage::run()
{
    while (!m_isStopping) {
        m_peakKib = std::max<u64>(m_peakKib, residentKib() + queuedBytes() / BytesPerKib);
        m_peakDescriptors = std::max<u64>(m_peakDescriptors, descriptors());
        std::this_thread::sleep_for(SamplePeriod);
    }
}

u64 ProcessUsage::residentKib() const
{
    std::ifstream status("/proc/" + std::to_string(m_pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:")) {
            return std::stoull(line.substr(6));
        }
    }
    return 0;
}

// A line of the table: number, local address, remote address, state, tx_queue:rx_queue and others; numbers are hexadecimal. In the queue of
// a listening socket connections are counted in place of bytes.
u64 ProcessUsage::queuedBytes() const
{
    const std::string listening = "0A";
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    u64 bytes = 0;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string number;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> number >> local >> remote >> state >> queues;
        const auto colon = queues.find(':');
        const bool isOwn = colon != std::string::npos && m_ports.count(static_cast<u16>(fromHex(local.substr(local.find(':') + 1)))) > 0;
        if (isOwn && state != listening) {
            bytes += fromHex(queues.substr(0, colon)) + fromHex(queues.substr(colon + 1));
        }
    }
    return bytes;
}

u64 ProcessUsage::descriptors() const
{
    std::error_code error;
    const std::filesystem::directory_iterator entries("/proc/" + std::to_string(m_pid) + "/fd", error);
    return error ? 0 : static_cast<u64>(std::distance(begin(entries), end(entries)));
}

} // namespace support
