#include <burdock/ops/rollout.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/runtime/sleep.hpp>
#include <burdock/schema/change.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>

#include <google/protobuf/util/json_util.h>

namespace burdock::ops {

namespace {

constexpr u32 MaxWriteAttempts = 20;
constexpr u32 MaxEditAttempts = 10;
constexpr Duration RetryInterval = std::chrono::milliseconds(200);

// Applies the changes of the steps to their full bundle; nothing if one of them is malformed.
std::optional<schema::Bundle> assembleBundle(const config::Steps &steps)
{
    schema::SignedBundle signedBundle;
    if (!steps.bundle || !signedBundle.ParseFromString(steps.bundle->bytes)) {
        return std::nullopt;
    }
    auto parsed = schema::parseBundle("accepted bundle", signedBundle.document());
    for (const auto &step : steps.changes) {
        schema::SignedChange signedChange;
        schema::Change change;
        if (!parsed.document || !signedChange.ParseFromString(step.bytes) || !change.ParseFromString(signedChange.document())) {
            return std::nullopt;
        }
        schema::applyChange(*parsed.document, change);
    }
    return std::move(parsed.document);
}

schema::CurrentConfig configForBundle(u64 version, const std::string &bytes)
{
    const auto id = serving::stepId(bytes);
    schema::CurrentConfig config;
    config.set_version(version);
    config.set_digest(hash::toHex(id));
    config.set_base_version(version);
    config.set_base_id(id);
    config.set_state_id(id);
    return config;
}

} // namespace

Rollout::Rollout(clients::ObjectStore &store, const RolloutStorageLimits &limits)
    : m_store(store)
    , m_limits(limits)
    , m_reader(store)
{
}

boost::asio::awaitable<AcceptedBundle> Rollout::accepted()
{
    AcceptedBundle out;
    const auto id = serving::currentConfigId();
    const auto current = co_await m_store.read(id);
    out.status = current.status;
    out.objectVersion = current.version;
    if (current.status != StoreResult::Found || !out.current.ParseFromString(current.value)) {
        co_return out;
    }
    const auto read = co_await m_reader.readSteps(out.current, 0, {});
    auto bundle = read.isRead ? assembleBundle(read.steps) : std::nullopt;
    if (bundle) {
        out.bundle = std::move(*bundle);
    } else {
        out.status = StoreResult::Unreachable;
    }
    co_return out;
}

boost::asio::awaitable<RolloutResult> Rollout::apply(const schema::SignedBundle &bundle)
{
    RolloutResult result;
    const auto parsed = schema::parseBundle("bundle", bundle.document());
    if (!parsed.document) {
        result.code = ExitCode::BadInput;
        result.detail = schema::toString(parsed.faults.front());
        co_return result;
    }
    const auto before = co_await accepted();
    if (before.status != StoreResult::Found && before.status != StoreResult::Absent) {
        result.detail = "the platform is unreachable";
        co_return result;
    }
    const auto bytes = bundle.SerializeAsString();
    const auto next = configForBundle(parsed.document->version(), bytes);
    if (before.current.digest() == next.digest()) {
        result.code = ExitCode::Ok;
        result.version = next.version();
        result.detail = "the bundle is already accepted";
        co_return result;
    }
    if (next.version() != before.current.version() + 1) {
        result.code = ExitCode::Conflict;
        result.conflictingVersion = before.current.version();
        result.detail = "the bundle's version must be " + std::to_string(before.current.version() + 1);
        co_return result;
    }
    if (!co_await storeBundle(next.digest(), bytes)) {
        result.detail = "the bundle can't be stored on the platform";
        co_return result;
    }
    co_return co_await publishCurrent(next, before);
}

boost::asio::awaitable<bool> Rollout::storeBundle(const std::string &digest, const std::string &bytes)
{
    schema::StoredBundle stored;
    if (bytes.size() <= m_limits.maxObjectBytes) {
        stored.set_signed_bundle(bytes);
    } else {
        for (std::size_t offset = 0; offset < bytes.size(); offset += m_limits.maxObjectBytes) {
            const auto part = bytes.substr(offset, m_limits.maxObjectBytes);
            const auto partDigest = hash::toHex(serving::stepId(part));
            const auto id = serving::bundlePartId(partDigest);
            if (!co_await storeObject(id, part)) {
                co_return false;
            }
            stored.add_parts(partDigest);
        }
    }
    const auto id = serving::bundleId(digest);
    const auto value = stored.SerializeAsString();
    co_return co_await storeObject(id, value);
}

// Objects are named by the digest of their content, so an existing object is the right one, whoever wrote it.
boost::asio::awaitable<bool> Rollout::storeObject(const clients::ObjectId &id, const std::string &bytes)
{
    for (u32 attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        const auto written = co_await m_store.create(id, bytes);
        if (written.status == StoreResult::Written || written.status == StoreResult::Conflict) {
            co_return true;
        }
        const auto read = co_await m_store.read(id);
        if (read.status == StoreResult::Found && read.value == bytes) {
            co_return true;
        }
        co_await runtime::sleepFor(RetryInterval);
    }
    co_return false;
}

// If the response to the accepting write is lost, the write times out, and the version may or may not be in force. Repeating the same
// conditional update is safe because it takes effect at most once; reading which step created the version tells whose it is.
boost::asio::awaitable<RolloutResult> Rollout::publishCurrent(const schema::CurrentConfig &next, const AcceptedBundle &before)
{
    RolloutResult result;
    result.code = ExitCode::Unknown;
    result.version = next.version();
    result.detail = "the platform did not confirm whether the change was accepted";
    const auto id = serving::currentConfigId();
    const auto value = next.SerializeAsString();
    for (u32 attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        const auto written = before.status == StoreResult::Absent ? co_await m_store.create(id, value)
                                                                  : co_await m_store.replace(id, value, before.objectVersion);
        if (written.status == StoreResult::Written) {
            result.code = ExitCode::Ok;
            result.detail.clear();
            co_return result;
        }
        const auto read = co_await m_store.read(id);
        schema::CurrentConfig current;
        if (read.status == StoreResult::Found && current.ParseFromString(read.value)) {
            const auto origin = co_await findOrigin(current, next);
            if (origin == VersionOrigin::Own || (origin == VersionOrigin::Other && written.status == StoreResult::Conflict)) {
                result.code = origin == VersionOrigin::Own ? ExitCode::Ok : ExitCode::Conflict;
                result.conflictingVersion = current.version();
                result.detail = origin == VersionOrigin::Own ? "" : "version " + std::to_string(current.version()) + " was accepted first";
                co_return result;
            }
        }
        co_await runtime::sleepFor(RetryInterval);
    }
    co_return result;
}

// Later changes may be based on this one by the time its lost response is noticed, so all steps are searched, not only the last one.
boost::asio::awaitable<Rollout::VersionOrigin> Rollout::findOrigin(const schema::CurrentConfig &current, const schema::CurrentConfig &next)
{
    if (current.version() < next.version()) {
        co_return VersionOrigin::Other;
    }
    if (current.version() == next.version() || current.base_version() == next.version()) {
        const auto &id = current.version() == next.version() ? current.state_id() : current.base_id();
        co_return id == next.state_id() ? VersionOrigin::Own : VersionOrigin::Other;
    }
    const auto read = co_await m_reader.readSteps(current, 0, {});
    if (!read.isRead) {
        co_return VersionOrigin::Undetermined;
    }
    for (const auto &change : read.steps.changes) {
        if (change.version == next.version()) {
            co_return change.id == next.state_id() ? VersionOrigin::Own : VersionOrigin::Other;
        }
    }
    co_return VersionOrigin::Undetermined;
}

boost::asio::awaitable<RolloutResult> Rollout::edit(const std::string &secretKey, std::function<bool(schema::Bundle &)> edit)
{
    RolloutResult result;
    for (u32 attempt = 0; attempt < MaxEditAttempts; ++attempt) {
        const auto before = co_await accepted();
        if (before.status != StoreResult::Found) {
            result.detail = "there is no accepted bundle, or the platform is unreachable";
            co_return result;
        }
        auto after = before.bundle;
        if (!edit(after)) {
            result.code = ExitCode::Ok;
            result.version = before.current.version();
            result.detail = "no change is needed";
            co_return result;
        }
        result = co_await applyChange(before, after, secretKey);
        if (result.code != ExitCode::Conflict) {
            co_return result;
        }
    }
    co_return result;
}

boost::asio::awaitable<RolloutResult> Rollout::applyChange(const AcceptedBundle &before, const schema::Bundle &after,
                                                           const std::string &secretKey)
{
    RolloutResult result;
    const auto faults = schema::checkBundle("changed bundle", after);
    if (!faults.empty()) {
        result.code = ExitCode::BadInput;
        result.detail = schema::toString(faults.front());
        co_return result;
    }
    auto change = schema::changeBetween(before.bundle, after);
    change.set_version(before.current.version() + 1);
    change.set_previous(before.current.state_id());
    const auto signedChange = schema::sign(change, secretKey);
    if (!signedChange) {
        result.code = ExitCode::BadInput;
        result.detail = "the signing key is malformed";
        co_return result;
    }
    auto next = before.current;
    if (!co_await archiveChanges(before, secretKey, next)) {
        result.detail = "earlier changes can't be stored on the platform";
        co_return result;
    }
    const auto bytes = signedChange->SerializeAsString();
    next.set_version(change.version());
    next.set_state_id(serving::stepId(bytes));
    next.add_changes(bytes);
    co_return co_await publishCurrent(next, before);
}

boost::asio::awaitable<bool> Rollout::archiveChanges(const AcceptedBundle &before, const std::string &secretKey,
                                                     schema::CurrentConfig &next)
{
    const u64 changesSinceBundle = before.current.version() - before.current.base_version();
    if (changesSinceBundle >= m_limits.maxChangesSinceBundle) {
        const auto signedBundle = schema::sign(toJson(before.bundle), secretKey);
        const auto bytes = signedBundle->SerializeAsString();
        const auto digest = hash::toHex(serving::stepId(bytes));
        if (!co_await storeBundle(digest, bytes)) {
            co_return false;
        }
        next.set_digest(digest);
        next.set_base_version(before.current.version());
        next.set_base_id(before.current.state_id());
        next.clear_changes();
        co_return true;
    }
    if (static_cast<u32>(before.current.changes_size()) < m_limits.maxInlineChanges) {
        co_return true;
    }
    schema::ChangeSegment segment;
    *segment.mutable_changes() = before.current.changes();
    const auto id = serving::changeSegmentId(before.current.state_id());
    const auto value = segment.SerializeAsString();
    next.clear_changes();
    co_return co_await storeObject(id, value);
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
