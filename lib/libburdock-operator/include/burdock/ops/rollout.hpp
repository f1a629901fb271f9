#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/ops/exit_code.hpp>
#include <burdock/serving/config/config_reader.hpp>

#include <boost/asio/awaitable.hpp>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace burdock::ops {

/** @brief The bundle that is accepted at present. */
struct AcceptedBundle
{
    StoreResult answer = StoreResult::Unreachable; ///< Found, Absent or Unreachable
    schema::CurrentConfig current;
    schema::Bundle bundle; ///< with all changes since it was whole
    u64 objectVersion = 0; ///< of the object that names it
};

struct RolloutResult
{
    ExitCode code = ExitCode::Failed;
    u64 version = 0; ///< accepted, if Ok
    u64 winner = 0; ///< version that stands instead, if Conflict
    std::string detail;
};

/** @brief How accepted changes are laid down on the platform. */
struct RolloutLayout
{
    /** Changes that the accepting object holds; then they move into a segment of their own. */
    u32 changesInCurrent = 32;
    /** Changes after which a whole bundle is laid down, so that a starting process has no more to read. */
    u32 changesUntilWhole = 1024;
    /** Most bytes in one object; the platform takes a megabyte. */
    std::size_t partBytes = 900'000;
};

/** @brief Brings signed bundles and changes to acceptance by the platform. */
class Rollout
{
public:
    explicit Rollout(clients::ObjectStore &store, const RolloutLayout &layout = {});

    [[nodiscard]] boost::asio::awaitable<AcceptedBundle> accepted();

    /** @brief Has a bundle accepted; Ok means that it is, whatever answers were lost on the way. */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> apply(const schema::SignedBundle &bundle);

    /**
     * @brief Changes the accepted bundle, over and over if others change it at the same time. Only what differs is signed, stored and
     * sent to the processes.
     * @param secretKey hex Ed25519 secret key to sign with
     * @param edit      changes the bundle; false if it needs no change
     */
    [[nodiscard]] boost::asio::awaitable<RolloutResult> edit(const std::string &secretKey, std::function<bool(schema::Bundle &)> edit);

private:
    enum class Standing : u8 {
        Ours,
        Others,
        Unclear,
    };

    [[nodiscard]] boost::asio::awaitable<RolloutResult> applyChange(const AcceptedBundle &before, const schema::Bundle &after,
                                                                    const std::string &secretKey);
    /** @brief Stores what the next accepting object no longer holds itself. */
    [[nodiscard]] boost::asio::awaitable<bool> layDown(const AcceptedBundle &before, const std::string &secretKey,
                                                       schema::CurrentConfig &next);
    [[nodiscard]] boost::asio::awaitable<bool> storeBundle(const std::string &digest, const std::string &bytes);
    [[nodiscard]] boost::asio::awaitable<bool> storeObject(const clients::ObjectId &id, const std::string &bytes);
    /** @brief Whose change made the version that `next` would have made. */
    [[nodiscard]] boost::asio::awaitable<Standing> standing(const schema::CurrentConfig &stands, const schema::CurrentConfig &next);
    [[nodiscard]] boost::asio::awaitable<RolloutResult> moveCurrent(const schema::CurrentConfig &next, const AcceptedBundle &before);

    clients::ObjectStore &m_store;
    RolloutLayout m_layout;
    serving::ConfigReader m_reader;
};

/** @brief The JSON text of a bundle in the form that operators write. */
[[nodiscard]] std::string toJson(const schema::Bundle &bundle);

} // namespace burdock::ops
