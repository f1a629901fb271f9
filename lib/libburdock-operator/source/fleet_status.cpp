#include <burdock/ops/fleet_status.hpp>

#include <burdock/runtime/http/client.hpp>
#include <burdock/runtime/sleep.hpp>

#include <algorithm>

namespace burdock::ops {

namespace {

constexpr Duration StatusTimeout = std::chrono::seconds(1);
constexpr Duration StatusPollInterval = std::chrono::milliseconds(100);
constexpr runtime::http::BodyLimit StatusLimit{std::size_t{16} * 1024 * 1024, nullptr};
constexpr u16 Ok = 200;

boost::asio::awaitable<ProcessStatus> fetchStatus(membership::ListedVm vm)
{
    ProcessStatus status;
    status.vm = std::move(vm);
    runtime::http::Request request;
    request.target = "/statusz";
    const auto address = runtime::http::parseAddress(status.vm.adminAddress);
    const auto exchange = co_await runtime::http::exchange(address, request, StatusTimeout, StatusLimit);
    if (exchange.progress != runtime::http::Progress::Answered || exchange.response.status != Ok) {
        co_return status;
    }
    boost::system::error_code error;
    auto value = boost::json::parse(exchange.response.body, error);
    if (!error && value.is_object()) {
        status.isReachable = true;
        status.document = std::move(value.get_object());
    }
    co_return status;
}

} // namespace

u64 ProcessStatus::number(std::string_view key) const
{
    const auto *value = document.if_contains(key);
    return value != nullptr && value->is_number() ? value->to_number<u64>() : 0;
}

bool ProcessStatus::flag(std::string_view key) const
{
    const auto *value = document.if_contains(key);
    return value != nullptr && value->is_bool() && value->get_bool();
}

std::string ProcessStatus::counts(std::string_view key) const
{
    const auto *value = document.if_contains(key);
    std::string text;
    if (value == nullptr || !value->is_object()) {
        return text;
    }
    for (const auto &count : value->get_object()) {
        text += (text.empty() ? "" : ", ") + std::string(count.key()) + " " + boost::json::serialize(count.value());
    }
    return text;
}

boost::asio::awaitable<std::vector<ProcessStatus>> fetchAllStatuses(clients::ObjectStore &store)
{
    std::vector<ProcessStatus> statuses;
    const auto list = co_await store.watchVms(0, std::chrono::milliseconds(100));
    for (const auto &vm : list.vms) {
        statuses.push_back(co_await fetchStatus(vm));
    }
    co_return statuses;
}

boost::asio::awaitable<std::vector<ProcessStatus>> waitForVersion(clients::ObjectStore &store, u64 version, Duration timeout)
{
    const auto until = std::chrono::steady_clock::now() + timeout;
    while (true) {
        auto statuses = co_await fetchAllStatuses(store);
        std::erase_if(statuses, [version](const auto &status) { return status.isReachable && status.number("config_version") >= version; });
        if (statuses.empty() || std::chrono::steady_clock::now() >= until) {
            co_return statuses;
        }
        co_await runtime::sleepFor(StatusPollInterval);
    }
}

} // namespace burdock::ops
