#include <burdock/ops/rollout.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/platform_watch.hpp>

#include <google/protobuf/util/json_util.h>

namespace burdock::ops {

namespace {

constexpr u32 WriteTries = 20;
constexpr u32 EditTries = 10;
constexpr Duration TryPause = std::chrono::milliseconds(200);

} // namespace

Rollout::Rollout(platform::ObjectStore &store)
    : m_store(store)
{
}

boost::asio::awaitable<AcceptedBundle> Rollout::accepted()
{
    AcceptedBundle out;
    const auto current = co_await m_store.read(serving::currentConfigId());
    out.answer = current.answer;
    out.objectVersion = current.version;
    if (current.answer != StoreAnswer::Found || !out.current.ParseFromString(current.value)) {
        co_return out;
    }
    const auto stored = co_await m_store.read(serving::bundleId(out.current.digest()));
    schema::SignedBundle signedBundle;
    if (stored.answer != StoreAnswer::Found || !signedBundle.ParseFromString(stored.value)) {
        out.answer = StoreAnswer::Unreachable;
        co_return out;
    }
    const auto checked = schema::parseBundle("accepted bundle", signedBundle.document());
    if (checked.document) {
        out.bundle = *checked.document;
    }
    co_return out;
}

boost::asio::awaitable<RolloutResult> Rollout::apply(const schema::SignedBundle &bundle)
{
    RolloutResult result;
    const auto checked = schema::parseBundle("bundle", bundle.document());
    if (!checked.document) {
        result.code = ExitCode::BadInput;
        result.detail = schema::toString(checked.faults.front());
        co_return result;
    }
    const auto before = co_await accepted();
    if (before.answer != StoreAnswer::Found && before.answer != StoreAnswer::Absent) {
        result.detail = "the platform can't be reached";
        co_return result;
    }
    const auto bytes = bundle.SerializeAsString();
    schema::CurrentConfig next;
    next.set_version(checked.document->version());
    next.set_digest(hash::toHex(hash::asBytes(hash::plainDigest256(bytes))));
    if (before.current.digest() == next.digest()) {
        result.code = ExitCode::Ok;
        result.version = next.version();
        result.detail = "was accepted before";
        co_return result;
    }
    if (next.version() != before.current.version() + 1) {
        result.code = ExitCode::Conflict;
        result.winner = before.current.version();
        result.detail = "the bundle's version must be " + std::to_string(before.current.version() + 1);
        co_return result;
    }
    if (!co_await storeBundle(next.digest(), bytes)) {
        result.detail = "the bundle can't be stored on the platform";
        co_return result;
    }
    co_return co_await moveCurrent(next, before);
}

// Its name is the digest of its content, so an object that is there already is the right one, whoever wrote it.
boost::asio::awaitable<bool> Rollout::storeBundle(const std::string &digest, const std::string &bytes)
{
    for (u32 attempt = 0; attempt < WriteTries; ++attempt) {
        const auto written = co_await m_store.create(serving::bundleId(digest), bytes);
        if (written.answer == StoreAnswer::Written || written.answer == StoreAnswer::Conflict) {
            co_return true;
        }
        const auto read = co_await m_store.read(serving::bundleId(digest));
        if (read.answer == StoreAnswer::Found && read.value == bytes) {
            co_return true;
        }
        co_await runtime::sleepFor(TryPause);
    }
    co_return false;
}

// Guards against an accepting write whose answer was lost: it shows as a timeout, after which the version may or may not be in
// force. Repeating the same conditional update holds because it takes effect at most once, and reading which digest stands there
// settles whose it was.
boost::asio::awaitable<RolloutResult> Rollout::moveCurrent(const schema::CurrentConfig &next, const AcceptedBundle &before)
{
    RolloutResult result;
    result.code = ExitCode::Unknown;
    result.detail = "no answer of the platform told whether the bundle was accepted";
    for (u32 attempt = 0; attempt < WriteTries; ++attempt) {
        const auto written = before.answer == StoreAnswer::Absent
            ? co_await m_store.create(serving::currentConfigId(), next.SerializeAsString())
            : co_await m_store.replace(serving::currentConfigId(), next.SerializeAsString(), before.objectVersion);
        if (written.answer == StoreAnswer::Written) {
            result.code = ExitCode::Ok;
            result.version = next.version();
            result.detail.clear();
            co_return result;
        }
        const auto read = co_await m_store.read(serving::currentConfigId());
        schema::CurrentConfig stands;
        if (read.answer == StoreAnswer::Found && stands.ParseFromString(read.value)) {
            const bool isOurs = stands.digest() == next.digest();
            if (isOurs || written.answer == StoreAnswer::Conflict) {
                result.code = isOurs ? ExitCode::Ok : ExitCode::Conflict;
                result.version = next.version();
                result.winner = stands.version();
                result.detail = isOurs ? "" : "version " + std::to_string(stands.version()) + " was accepted first";
                co_return result;
            }
        }
        co_await runtime::sleepFor(TryPause);
    }
    co_return result;
}

boost::asio::awaitable<RolloutResult> Rollout::edit(const std::string &secretKey, std::function<bool(schema::Bundle &)> edit)
{
    RolloutResult result;
    for (u32 attempt = 0; attempt < EditTries; ++attempt) {
        auto before = co_await accepted();
        if (before.answer != StoreAnswer::Found) {
            result.detail = "there is no accepted bundle, or the platform can't be reached";
            co_return result;
        }
        if (!edit(before.bundle)) {
            result.code = ExitCode::Ok;
            result.version = before.current.version();
            result.detail = "is so already";
            co_return result;
        }
        before.bundle.set_version(before.current.version() + 1);
        const auto signedBundle = schema::sign(toJson(before.bundle), secretKey);
        if (!signedBundle) {
            result.code = ExitCode::BadInput;
            result.detail = "the signing key is malformed";
            co_return result;
        }
        result = co_await apply(*signedBundle);
        if (result.code != ExitCode::Conflict) {
            co_return result;
        }
    }
    co_return result;
}

std::string toJson(const schema::Bundle &bundle)
{
    google::protobuf::util::JsonPrintOptions options;
    options.add_whitespace = true;
    options.preserve_proto_field_names = true;
    std::string text;
    static_cast<void>(google::protobuf::util::MessageToJsonString(bundle, &text, options));
    return text;
}

} // namespace burdock::ops
