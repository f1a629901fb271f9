#include <burdock/cache/part_index.hpp>

#include <burdock/hash/digest.hpp>
#include <burdock/wire/syntax.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace burdock::cache {

namespace {

constexpr std::array<std::string_view, 7> DispositionNames{"in_place", "from_store", "from_engine", "unknown",
                                                           "avoided",  "retired",    "behind"};

constexpr char SaltSeparator = '~';
constexpr char KeySeparator = '\n';
/** Share of a store that is filled, in percent; the rest is reserved for saves by other entries that are not known here yet. */
constexpr u64 MaxFillPercent = 96;
/** Number of stores considered for saving one part. */
constexpr std::size_t MaxSaveCandidates = 3;
/** Period of removing expired pending saves. */
constexpr Duration PendingSaveSweepPeriod = std::chrono::seconds(1);

bool hasAnyAddress(const std::vector<std::string> &addresses)
{
    return std::any_of(addresses.begin(), addresses.end(), [](const std::string &address) { return !address.empty(); });
}

} // namespace

std::string Salt::text() const
{
    return wire::percentEncoded(model) + SaltSeparator + std::to_string(version) + SaltSeparator + wire::percentEncoded(customer);
}

std::string partKey(std::string_view salt, std::string_view id)
{
    std::string key(salt);
    key += KeySeparator;
    key += id;
    return key;
}

std::optional<Salt> parseSalt(std::string_view text)
{
    const auto first = text.find(SaltSeparator);
    const auto second = first == std::string_view::npos ? first : text.find(SaltSeparator, first + 1);
    if (second == std::string_view::npos) {
        return std::nullopt;
    }
    Salt salt;
    const auto model = wire::percentDecoded(text.substr(0, first));
    const auto customer = wire::percentDecoded(text.substr(second + 1));
    const auto *end = text.data() + second;
    const auto [rest, error] = std::from_chars(text.data() + first + 1, end, salt.version);
    if (error != std::errc() || rest != end || !model || !customer) {
        return std::nullopt;
    }
    salt.model = *model;
    salt.customer = *customer;
    return salt;
}

std::string_view toString(PartDisposition disposition)
{
    return DispositionNames.at(static_cast<std::size_t>(disposition));
}

bool PartPlan::hasFetches() const
{
    return hasAnyAddress(fetchFrom);
}

bool PartPlan::hasSaves() const
{
    return hasAnyAddress(saveTo);
}

PartIndex::PartIndex(Duration saveRetryDelay)
    : m_saveRetryDelay(saveRetryDelay)
{
}

void PartIndex::setStores(const std::vector<PartStore> &stores)
{
    m_stores = stores;
    std::erase_if(m_contents, [&stores](const auto &entry) {
        return std::none_of(stores.begin(), stores.end(), [&entry](const PartStore &store) { return store.address == entry.first; });
    });
}

const std::vector<PartStore> &PartIndex::stores() const
{
    return m_stores;
}

void PartIndex::noteStored(std::string_view store, std::string_view salt, std::string_view id, u64 tokens)
{
    auto &contents = m_contents[std::string(store)];
    auto &partTokens = contents.parts[partKey(salt, id)];
    contents.tokens += tokens - partTokens;
    partTokens = tokens;
}

void PartIndex::noteDropped(std::string_view store, std::string_view salt, std::string_view id)
{
    const auto contents = m_contents.find(store);
    if (contents == m_contents.end()) {
        return;
    }
    const auto part = contents->second.parts.find(partKey(salt, id));
    if (part != contents->second.parts.end()) {
        contents->second.tokens -= part->second;
        contents->second.parts.erase(part);
    }
}

void PartIndex::forgetStore(std::string_view store)
{
    const auto contents = m_contents.find(store);
    if (contents != m_contents.end()) {
        m_contents.erase(contents);
    }
}

PartPlan PartIndex::plan(std::string_view salt, const std::vector<PromptPart> &parts, const PlanRules &rules, TimePoint now)
{
    expirePendingSaves(now);
    PartPlan plan;
    plan.fetchFrom.resize(parts.size());
    plan.saveTo.resize(parts.size());
    bool isPrefixAvailable = true;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const auto key = partKey(salt, parts[i].id);
        const auto *holder = findHolder(key, parts[i].tokens, &rules);
        const bool isResident = rules.isResident(i);
        const auto engine = isResident ? std::string() : rules.findEngine(i);
        // A part can only be used if all parts before it are available. Engines have much faster links than stores.
        const bool mayFetchFromStore = holder != nullptr && rules.mayFetch(parts[i].id);
        const bool isPrefixMissing = !isPrefixAvailable;
        isPrefixAvailable = isPrefixAvailable && (isResident || mayFetchFromStore || !engine.empty());
        if (isPrefixAvailable) {
            const auto source = mayFetchFromStore ? PartDisposition::FromStore : PartDisposition::FromEngine;
            plan.dispositions.push_back(isResident ? PartDisposition::Resident : source);
        } else {
            plan.dispositions.push_back(isPrefixMissing ? PartDisposition::PrefixMissing
                                                        : prefillReason(key, parts[i].tokens, holder != nullptr));
        }
        if (isPrefixAvailable && mayFetchFromStore) {
            plan.fetchFrom[i] = holder->address;
        } else if (isPrefixAvailable) {
            plan.fetchFrom[i] = engine;
        }
        if (holder != nullptr) {
            continue;
        }
        if (const auto *target = chooseSaveTarget(key, parts[i].tokens, rules, now)) {
            plan.saveTo[i] = target->address;
            m_pendingSaves[key] = now;
        }
    }
    return plan;
}

const PartStore *PartIndex::findStore(std::string_view salt, const PromptPart &part) const
{
    return findHolder(partKey(salt, part.id), part.tokens, nullptr);
}

PartsToFree PartIndex::partsToFree(std::string_view store, std::string_view model,
                                   const std::function<bool(u64, std::string_view)> &mayFree, std::size_t maxParts) const
{
    PartsToFree result;
    result.store = store;
    const auto contents = m_contents.find(store);
    if (contents == m_contents.end()) {
        return result;
    }
    for (const auto &[key, tokens] : contents->second.parts) {
        const auto end = key.find(KeySeparator);
        const auto salt = parseSalt(std::string_view(key).substr(0, end));
        if (result.parts.size() >= maxParts) {
            break;
        }
        if (salt && salt->model == model && mayFree(salt->version, std::string_view(key).substr(end + 1))) {
            result.parts.emplace_back(key.substr(0, end), key.substr(end + 1));
        }
    }
    return result;
}

u64 PartIndex::storedTokens(std::string_view store) const
{
    const auto contents = m_contents.find(store);
    return contents == m_contents.end() ? 0 : contents->second.tokens;
}

std::vector<const PartStore *> PartIndex::rankedStores(const std::string &key) const
{
    std::vector<std::pair<double, const PartStore *>> scored;
    scored.reserve(m_stores.size());
    for (const auto &store : m_stores) {
        const u64 hashed = hash::hash64(key, hash::hash64(store.address));
        const double uniform = (static_cast<double>(hashed >> 11) + 0.5) / 9007199254740992.0; // in (0, 1)
        scored.emplace_back(-static_cast<double>(store.tokens) / std::log(uniform), &store);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<const PartStore *> ranked;
    for (std::size_t i = 0; i < std::min(MaxSaveCandidates, scored.size()); ++i) {
        ranked.push_back(scored[i].second);
    }
    return ranked;
}

const PartStore *PartIndex::findHolder(const std::string &key, u64 tokens, const PlanRules *rules) const
{
    for (const auto &store : m_stores) {
        const auto contents = m_contents.find(store.address);
        if (contents == m_contents.end() || (rules != nullptr && !rules->mayFetchFrom(store.address))) {
            continue;
        }
        const auto part = contents->second.parts.find(key);
        if (part != contents->second.parts.end() && part->second >= tokens) {
            return &store;
        }
    }
    return nullptr;
}

PartDisposition PartIndex::prefillReason(const std::string &key, u64 tokens, bool hasReachableHolder) const
{
    if (hasReachableHolder) {
        return PartDisposition::Retired;
    }
    return findHolder(key, tokens, nullptr) == nullptr ? PartDisposition::NotStored : PartDisposition::StoreAvoided;
}

const PartStore *PartIndex::chooseSaveTarget(const std::string &key, u64 tokens, const PlanRules &rules, TimePoint now)
{
    const auto pending = m_pendingSaves.find(key);
    if (pending != m_pendingSaves.end() && now - pending->second < m_saveRetryDelay) {
        return nullptr;
    }
    for (const auto *store : rankedStores(key)) {
        if (rules.maySaveTo(store->address) && storedTokens(store->address) + tokens <= store->tokens * MaxFillPercent / 100) {
            return store;
        }
    }
    return nullptr;
}

void PartIndex::expirePendingSaves(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + PendingSaveSweepPeriod;
    std::erase_if(m_pendingSaves, [&](const auto &entry) { return now - entry.second >= m_saveRetryDelay; });
}

} // namespace burdock::cache
