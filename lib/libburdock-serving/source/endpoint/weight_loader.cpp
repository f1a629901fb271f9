#include <burdock/serving/endpoint/weight_loader.hpp>

#include <burdock/runtime/sleep.hpp>
#include <burdock/serving/config/config_watcher.hpp>
#include <burdock/serving/link_messages.hpp>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <charconv>

namespace burdock::serving {

namespace {

constexpr Duration PollInterval = std::chrono::milliseconds(200);
constexpr Duration SlotLeaseTime = std::chrono::seconds(15);
// Without the platform concurrent loads can't be limited; a random delay spreads them.
constexpr Duration MeanDelayWithoutPlatform = std::chrono::seconds(2);

u64 parseIncarnation(std::string_view text)
{
    u64 number = 0;
    std::from_chars(text.data(), text.data() + text.size(), number);
    return number;
}

std::vector<weights::SlotHolder> parseHolders(const std::string &value)
{
    schema::LoadSlotsRecord record;
    std::vector<weights::SlotHolder> holders;
    if (record.ParseFromString(value)) {
        for (const auto &holder : record.holders()) {
            holders.push_back({holder.endpoint(), holder.beat()});
        }
    }
    return holders;
}

std::string serialize(const std::vector<weights::SlotHolder> &holders)
{
    schema::LoadSlotsRecord record;
    for (const auto &holder : holders) {
        auto *added = record.add_holders();
        added->set_endpoint(holder.endpoint);
        added->set_beat(holder.renewals);
    }
    return record.SerializeAsString();
}

} // namespace

WeightLoader::WeightLoader(Process &process, ConfigHolder &config, clients::ObjectStore &store, clients::Engine &engine,
                           EngineWatcher &engineWatcher, std::string pool)
    : m_process(process)
    , m_config(config)
    , m_store(store)
    , m_engine(engine)
    , m_engineWatcher(engineWatcher)
    , m_pool(std::move(pool))
{
}

u64 WeightLoader::incarnation() const
{
    return m_incarnation;
}

boost::asio::awaitable<void> WeightLoader::run()
{
    boost::asio::co_spawn(m_process.workers, acquireIncarnation(), boost::asio::detached);
    while (true) {
        if (const auto target = nextMissingWeights()) {
            co_await loadWeights(*target);
        }
        co_await runtime::sleepFor(PollInterval);
    }
}

boost::asio::awaitable<void> WeightLoader::acquireIncarnation()
{
    const clients::ObjectId id{"incarnations", m_process.vmName};
    while (true) {
        const auto read = co_await m_store.read(id);
        if (read.status == StoreResult::Found || read.status == StoreResult::Absent) {
            const u64 next = parseIncarnation(read.value) + 1;
            const bool isFirst = read.status == StoreResult::Absent;
            const auto written = isFirst ? co_await m_store.create(id, std::to_string(next))
                                         : co_await m_store.replace(id, std::to_string(next), read.version);
            // A write whose response was lost leaves a gap in the numbers, which does no harm.
            if (written.status == StoreResult::Written) {
                m_incarnation = next;
                m_process.logger.event(runtime::LogLevel::Info, "incarnation_taken", {{"incarnation", next}});
                co_return;
            }
        }
        co_await runtime::sleepFor(jittered(PollInterval, m_process.random));
    }
}

std::optional<WeightLoader::TargetWeights> WeightLoader::nextMissingWeights() const
{
    const auto config = m_config.current();
    if (!config || !m_engineWatcher.isReachable()) {
        return std::nullopt;
    }
    for (const auto &model : config->bundle().models()) {
        if (model.pool() == m_pool && !m_engineWatcher.hasLoaded(weightName(model.name(), model.weight_version()))) {
            return TargetWeights{model.name(), model.weight_version()};
        }
    }
    return std::nullopt;
}

boost::asio::awaitable<void> WeightLoader::loadWeights(const TargetWeights &target)
{
    const u32 slotCount = m_config.current()->bundle().policy().concurrent_weight_loads();
    weights::LoadSlots slots(slotCount, SlotLeaseTime);
    const TimePoint waitStart = m_process.clock.now();
    SlotResult slot = co_await acquireSlot(slots);
    while (slot == SlotResult::Busy) {
        const auto pause = weights::LoadSlots::pollDelay(m_process.clock.now() - waitStart);
        co_await runtime::sleepFor(jittered(pause, m_process.random));
        slot = co_await acquireSlot(slots);
    }
    if (slot == SlotResult::PlatformUnreachable) {
        co_await runtime::sleepFor(jittered(MeanDelayWithoutPlatform, m_process.random));
    }
    // The configuration may have changed while this replica waited for a slot.
    const auto current = nextMissingWeights();
    if (current && current->model == target.model && current->version == target.version) {
        const auto result = co_await m_engine.load(target.model, target.version, m_incarnation);
        m_process.logger.event(runtime::LogLevel::Info, "weights_ordered",
                               {{"model", std::string_view(target.model)},
                                {"version", std::string_view(target.version)},
                                {"done", result == clients::OrderResult::Done},
                                {"refused", result == clients::OrderResult::Refused}});
        co_await m_engineWatcher.refresh();
    }
    if (slot == SlotResult::Acquired) {
        co_await releaseSlot(slots);
    }
}

clients::ObjectId WeightLoader::slotsId() const
{
    return {"load-slots", m_pool};
}

boost::asio::awaitable<WeightLoader::SlotResult> WeightLoader::acquireSlot(weights::LoadSlots &slots)
{
    const auto read = co_await m_store.read(slotsId());
    if (read.status != StoreResult::Found && read.status != StoreResult::Absent) {
        co_return SlotResult::PlatformUnreachable;
    }
    const TimePoint now = m_process.clock.now();
    slots.observe(parseHolders(read.value), now);
    const auto next = slots.claim(m_process.vmName, now);
    if (!next) {
        co_return SlotResult::Busy;
    }
    const bool isFirst = read.status == StoreResult::Absent;
    const auto written = isFirst ? co_await m_store.create(slotsId(), serialize(*next))
                                 : co_await m_store.replace(slotsId(), serialize(*next), read.version);
    co_return written.status == StoreResult::Written ? SlotResult::Acquired : SlotResult::Busy;
}

boost::asio::awaitable<void> WeightLoader::releaseSlot(weights::LoadSlots &slots)
{
    while (true) {
        const auto read = co_await m_store.read(slotsId());
        if (read.status == StoreResult::Found) {
            slots.observe(parseHolders(read.value), m_process.clock.now());
            const auto written = co_await m_store.replace(slotsId(), serialize(slots.release(m_process.vmName)), read.version);
            if (written.status == StoreResult::Written) {
                co_return;
            }
        }
        if (read.status == StoreResult::Absent || read.status == StoreResult::Unreachable) {
            // The slot is no longer held, or its lease expires by itself.
            co_return;
        }
        co_await runtime::sleepFor(jittered(PollInterval, m_process.random));
    }
}

} // namespace burdock::serving
