#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/ops/exit_code.hpp>
#include <burdock/platform/object_store.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief The bundle that is accepted at present. */
struct AcceptedBundle
{
    StoreAnswer answer = StoreAnswer::Unreachable; ///< Found, Absent or Unreachable
    schema::CurrentConfig current;
    schema::Bundle bundle;
    u64 objectVersion = 0; ///< of the object that names it
};

struct RolloutResult
{
    ExitCode code = ExitCode::Failed;
    u64 version = 0; ///< accepted, if Ok
    u64 winner = 0; ///< version that stands instead, if Conflict
    std::string detail;
};

/** @brief Brings signed bundles to acceptance by the platform. */
class Rollout
{
public:
    explicit Rollout(platform::ObjectStore &store);

    [[nodiscard]] boost::asio::awaitable<AcceptedBundle> accepted();

    /** @brief Has a bundle accepted; Ok means that it is, whatever answers were lost on the way. */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> apply(const schema::SignedBundle &bundle);

    /**
     * @brief Changes the accepted bundle, over and over if others change it at the same time.
     * @param secretKey hex Ed25519 secret key to sign with
     * @param edit      changes the bundle; false if it needs no change
     */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> edit(const std::string &secretKey, std::function<bool(schema::Bundle &)> edit);

private:
    [[nodiscard]] boost::asio::awaitable<bool> storeBundle(const std::string &digest, const std::string &bytes);
    [[nodiscard]] boost::asio::awaitable<RolloutResult> moveCurrent(const schema::CurrentConfig &next, const AcceptedBundle &before);

    platform::ObjectStore &m_store;
};

/** @brief The JSON text of a bundle in the form that operators write. */
[[nodiscard]] std::string toJson(const schema::Bundle &bundle);

} // namespace burdock::ops
