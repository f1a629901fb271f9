#include <burdock/cache/part_index.hpp>

#include <burdock/hash/digest.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

namespace burdock::cache {

namespace {

constexpr std::array<std::string_view, 7> FateNames{"in_place", "from_store", "from_engine", "unknown", "avoided", "retired", "behind"};

constexpr char SaltSeparator = '~';
constexpr char KeySeparator = '\n';
/** Share of a store that is filled, in percent; the rest covers saves of other entries that are not known yet. */
constexpr u64 FillPercent = 96;
/** How many stores are tried for one part. */
constexpr std::size_t PlacesTried = 3;
/** How often old saves are swept out. */
constexpr Duration SweepEvery = std::chrono::seconds(1);

bool anyIsSet(const std::vector<std::string> &addresses)
{
    return std::any_of(addresses.begin(), addresses.end(), [](const std::string &address) { return !address.empty(); });
}

} // namespace

std::string Salt::text() const
{
    return model + SaltSeparator + std::to_string(version) + SaltSeparator + customer;
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
    salt.model = text.substr(0, first);
    salt.customer = text.substr(second + 1);
    const auto *end = text.data() + second;
    const auto [rest, error] = std::from_chars(text.data() + first + 1, end, salt.version);
    if (error != std::errc() || rest != end) {
        return std::nullopt;
    }
    return salt;
}

std::string_view toString(PartDisposition fate)
{
    return FateNames.at(static_cast<std::size_t>(fate));
}

bool PartPlan::hasFetches() const
{
    return anyIsSet(fetchFrom);
}

bool PartPlan::hasSaves() const
{
    return anyIsSet(saveTo);
}

PartIndex::PartIndex(Duration saveAgainAfter)
    : m_saveAgainAfter(saveAgainAfter)
{
}

void PartIndex::setStores(const std::vector<PartStore> &stores)
{
    m_stores = stores;
    std::erase_if(m_held, [&stores](const auto &entry) {
        return std::none_of(stores.begin(), stores.end(), [&entry](const PartStore &store) { return store.address == entry.first; });
    });
}

const std::vector<PartStore> &PartIndex::stores() const
{
    return m_stores;
}

void PartIndex::noteStored(std::string_view store, std::string_view salt, std::string_view id, u64 tokens)
{
    auto &held = m_held[std::string(store)];
    auto &kept = held.parts[partKey(salt, id)];
    held.tokens += tokens - kept;
    kept = tokens;
}

void PartIndex::noteDropped(std::string_view store, std::string_view salt, std::string_view id)
{
    const auto held = m_held.find(store);
    if (held == m_held.end()) {
        return;
    }
    const auto part = held->second.parts.find(partKey(salt, id));
    if (part != held->second.parts.end()) {
        held->second.tokens -= part->second;
        held->second.parts.erase(part);
    }
}

void PartIndex::forgetStore(std::string_view store)
{
    const auto held = m_held.find(store);
    if (held != m_held.end()) {
        m_held.erase(held);
    }
}

PartPlan PartIndex::plan(std::string_view salt, const std::vector<PromptPart> &parts, const PlanRules &rules, TimePoint now)
{
    forgetOldSaves(now);
    PartPlan plan;
    plan.fetchFrom.resize(parts.size());
    plan.saveTo.resize(parts.size());
    bool isPrefixKept = true;
    for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
        const auto key = partKey(salt, parts[i].id);
        const auto *holder = holderOf(key, parts[i].tokens, &rules);
        const bool isResident = rules.isResident(i);
        const auto engine = isResident ? std::string() : rules.findEngine(i);
        // A part is of use only behind the parts before it. Engines have much wider links than stores.
        const bool isKept = holder != nullptr && rules.mayFetch(parts[i].id);
        const bool isBehind = !isPrefixKept;
        isPrefixKept = isPrefixKept && (isResident || isKept || !engine.empty());
        if (isPrefixKept) {
            const auto fetched = isKept ? PartDisposition::FromStore : PartDisposition::FromEngine;
            plan.dispositions.push_back(isResident ? PartDisposition::InPlace : fetched);
        } else {
            plan.dispositions.push_back(isBehind ? PartDisposition::Behind : whyRead(key, parts[i].tokens, holder != nullptr));
        }
        if (isPrefixKept && isKept) {
            plan.fetchFrom[i] = holder->address;
        } else if (isPrefixKept) {
            plan.fetchFrom[i] = engine;
        }
        if (holder != nullptr) {
            continue;
        }
        if (const auto *place = placeFor(key, parts[i].tokens, rules, now)) {
            plan.saveTo[i] = place->address;
            m_saving[key] = now;
        }
    }
    return plan;
}

std::string_view PartIndex::findStore(std::string_view salt, const PromptPart &part) const
{
    const auto *store = holderOf(partKey(salt, part.id), part.tokens, nullptr);
    return store == nullptr ? std::string_view() : std::string_view(store->address);
}

PartsToFree PartIndex::partsToFree(std::string_view store, std::string_view model,
                                   const std::function<bool(u64, std::string_view)> &mayFree, std::size_t most) const
{
    PartsToFree out;
    out.store = store;
    const auto held = m_held.find(store);
    if (held == m_held.end()) {
        return out;
    }
    for (const auto &[key, tokens] : held->second.parts) {
        const auto end = key.find(KeySeparator);
        const auto salt = parseSalt(std::string_view(key).substr(0, end));
        if (out.parts.size() >= most) {
            break;
        }
        if (salt && salt->model == model && mayFree(salt->version, std::string_view(key).substr(end + 1))) {
            out.parts.emplace_back(key.substr(0, end), key.substr(end + 1));
        }
    }
    return out;
}

u64 PartIndex::storedTokens(std::string_view store) const
{
    const auto held = m_held.find(store);
    return held == m_held.end() ? 0 : held->second.tokens;
}

std::vector<const PartStore *> PartIndex::placesOf(const std::string &key) const
{
    std::vector<std::pair<double, const PartStore *>> scored;
    scored.reserve(m_stores.size());
    for (const auto &store : m_stores) {
        const u64 word = hash::fast(key, hash::fast(store.address));
        const double unit = (static_cast<double>(word >> 11) + 0.5) / 9007199254740992.0; // in (0, 1)
        scored.emplace_back(-static_cast<double>(store.tokens) / std::log(unit), &store);
    }
    std::sort(scored.begin(), scored.end(), std::greater<>());
    std::vector<const PartStore *> places;
    for (std::size_t i = 0; i < std::min(PlacesTried, scored.size()); ++i) {
        places.push_back(scored[i].second);
    }
    return places;
}

const PartStore *PartIndex::holderOf(const std::string &key, u64 tokens, const PlanRules *rules) const
{
    for (const auto &store : m_stores) {
        const auto held = m_held.find(store.address);
        if (held == m_held.end() || (rules != nullptr && !rules->mayFetchFrom(store.address))) {
            continue;
        }
        const auto part = held->second.parts.find(key);
        if (part != held->second.parts.end() && part->second >= tokens) {
            return &store;
        }
    }
    return nullptr;
}

PartDisposition PartIndex::whyRead(const std::string &key, u64 tokens, bool isFetchable) const
{
    if (isFetchable) {
        return PartDisposition::Retired;
    }
    return holderOf(key, tokens, nullptr) == nullptr ? PartDisposition::Unknown : PartDisposition::Avoided;
}

const PartStore *PartIndex::placeFor(const std::string &key, u64 tokens, const PlanRules &rules, TimePoint now)
{
    const auto saving = m_saving.find(key);
    if (saving != m_saving.end() && now - saving->second < m_saveAgainAfter) {
        return nullptr;
    }
    for (const auto *store : placesOf(key)) {
        if (rules.maySaveTo(store->address) && storedTokens(store->address) + tokens <= store->tokens * FillPercent / 100) {
            return store;
        }
    }
    return nullptr;
}

void PartIndex::forgetOldSaves(TimePoint now)
{
    if (now < m_nextSweep) {
        return;
    }
    m_nextSweep = now + SweepEvery;
    std::erase_if(m_saving, [&](const auto &entry) { return now - entry.second >= m_saveAgainAfter; });
}

} // namespace burdock::cache
