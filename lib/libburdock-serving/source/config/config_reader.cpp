#include <burdock/serving/config/config_reader.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

using SerializedChanges = google::protobuf::RepeatedPtrField<std::string>;

// Inserts earlier changes in front of those already read; false if one of them is malformed.
bool prepend(const SerializedChanges &earlier, std::vector<config::ChangeStep> &changes)
{
    std::vector<config::ChangeStep> all;
    for (const auto &bytes : earlier) {
        auto change = readChangeStep(bytes);
        if (!change) {
            return false;
        }
        all.push_back(std::move(*change));
    }
    all.insert(all.end(), std::make_move_iterator(changes.begin()), std::make_move_iterator(changes.end()));
    changes = std::move(all);
    return true;
}

bool containsSuccessor(const std::vector<config::ChangeStep> &changes, u64 version, const std::string &id)
{
    return std::any_of(changes.begin(), changes.end(),
                       [&](const auto &change) { return change.version == version + 1 && change.previous == id; });
}

} // namespace

clients::ObjectId currentConfigId()
{
    return {"config", "current"};
}

clients::ObjectId bundleId(const std::string &digest)
{
    return {"bundles", digest};
}

clients::ObjectId bundlePartId(const std::string &digest)
{
    return {"bundle-parts", digest};
}

clients::ObjectId changeSegmentId(const std::string &lastStepId)
{
    return {"changes", hash::toHex(lastStepId)};
}

ConfigReader::ConfigReader(clients::ObjectStore &store)
    : m_store(store)
{
}

boost::asio::awaitable<StepsReadResult> ConfigReader::readSteps(const schema::CurrentConfig &current, u64 heldVersion, std::string heldId)
{
    auto read = co_await changesAfter(current, heldVersion);
    if (!read.isRead || (heldVersion > 0 && containsSuccessor(read.steps.changes, heldVersion, heldId))) {
        co_return read;
    }
    if (heldVersion > current.base_version()) {
        // The held version belongs to another history, so all changes since the whole bundle are needed.
        read = co_await changesAfter(current, 0);
    }
    auto bundleResult = co_await readBundle(current);
    read.isRead = read.isRead && bundleResult.isRead;
    read.steps.bundle = std::move(bundleResult.bundle);
    std::erase_if(read.steps.changes, [&](const auto &change) { return change.version <= current.base_version(); });
    co_return read;
}

boost::asio::awaitable<StepsReadResult> ConfigReader::changesAfter(const schema::CurrentConfig &current, u64 version)
{
    StepsReadResult result;
    auto &changes = result.steps.changes;
    result.isRead = prepend(current.changes(), changes);
    const u64 firstNeeded = std::max(version, current.base_version()) + 1;
    while (result.isRead && !changes.empty() && changes.front().version > firstNeeded) {
        const auto id = changeSegmentId(changes.front().previous);
        const auto read = co_await m_store.read(id);
        schema::ChangeSegment segment;
        result.isRead = read.status == StoreResult::Found && segment.ParseFromString(read.value) && prepend(segment.changes(), changes);
    }
    co_return result;
}

boost::asio::awaitable<BundleReadResult> ConfigReader::readBundle(const schema::CurrentConfig &current)
{
    BundleReadResult result;
    result.bundle.version = current.base_version();
    result.bundle.id = current.base_id();
    const auto id = bundleId(current.digest());
    const auto read = co_await m_store.read(id);
    schema::StoredBundle stored;
    if (read.status != StoreResult::Found || !stored.ParseFromString(read.value)) {
        co_return result;
    }
    result.bundle.bytes = stored.signed_bundle();
    for (const auto &part : stored.parts()) {
        const auto partId = bundlePartId(part);
        const auto storedPart = co_await m_store.read(partId);
        if (storedPart.status != StoreResult::Found) {
            co_return result;
        }
        result.bundle.bytes += storedPart.value;
    }
    result.isRead = true;
    co_return result;
}

} // namespace burdock::serving
