#include <burdock/admission/admission_controller.hpp>
#include <burdock/cache/block_keys.hpp>
#include <burdock/limits/customer_limits.hpp>
#include <burdock/membership/member_table.hpp>
#include <burdock/placement/policy.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>
#include <burdock/serving/config/snapshot.hpp>

#include <benchmark/benchmark.h>
#include <malloc.h>

namespace {

using namespace burdock;

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

std::vector<membership::ListedVm> makeVmList(i64 count)
{
    std::vector<membership::ListedVm> vms;
    for (i64 i = 0; i < count; ++i) {
        const auto number = std::to_string(i);
        vms.push_back({"model-vm-" + number, "zone-" + std::to_string(i % 20), "pool-" + std::to_string(i % 15), "10.0.0.1:7001",
                       "10.0.0.1:7002", false});
    }
    return vms;
}

membership::EligibilityRules rulesForTwentyZones()
{
    membership::EligibilityRules rules;
    for (u32 i = 0; i < 20; ++i) {
        rules.zones["zone-" + std::to_string(i)] = {};
    }
    return rules;
}

void place(benchmark::State &state)
{
    std::vector<placement::EndpointView> views(static_cast<std::size_t>(state.range(0)));
    for (std::size_t i = 0; i < views.size(); ++i) {
        views[i] = {i + 1, 1.0, static_cast<u32>(i % 7), 16};
    }
    const placement::HomePolicy policy({});
    placement::PlacementRequest request;
    for (auto _ : state) {
        request.homeHash += 0x9e3779b97f4a7c15ULL;
        benchmark::DoNotOptimize(policy.order(request, views, 8));
    }
}
BENCHMARK(place)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMicrosecond);

// The table lists the endpoints of all fifteen pools; a request goes to one of them.
void collectEligible(benchmark::State &state)
{
    const std::size_t before = heapBytes();
    membership::MemberTable table;
    table.setListed(makeVmList(state.range(0)));
    state.counters["bytes_per_endpoint"] = static_cast<double>(heapBytes() - before) / static_cast<double>(state.range(0));
    const auto rules = rulesForTwentyZones();
    for (auto _ : state) {
        benchmark::DoNotOptimize(membership::eligibleEndpoints(table, "pool-3", rules, TimePoint{}));
    }
}
BENCHMARK(collectEligible)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMicrosecond);

void takeVmList(benchmark::State &state)
{
    membership::MemberTable table;
    const auto list = makeVmList(state.range(0));
    for (auto _ : state) {
        table.setListed(list);
    }
}
BENCHMARK(takeVmList)->RangeMultiplier(10)->Range(10, 10'000)->Unit(benchmark::kMillisecond);

void findCustomer(benchmark::State &state)
{
    schema::Bundle bundle;
    for (i64 i = 0; i < state.range(0); ++i) {
        auto *customer = bundle.add_customers();
        customer->set_name("customer-" + std::to_string(i));
        customer->set_api_key_hash(hash::toHex(hash::asBytes(hash::plainDigest256(customer->name()))));
    }
    const auto wanted = bundle.customers(bundle.customers_size() / 2).api_key_hash();
    const std::size_t before = heapBytes();
    const serving::Snapshot snapshot(bundle);
    state.counters["bytes_per_customer"] = static_cast<double>(heapBytes() - before) / static_cast<double>(state.range(0));
    for (auto _ : state) {
        benchmark::DoNotOptimize(snapshot.customerByKeyHash(wanted));
    }
}
BENCHMARK(findCustomer)->Arg(10)->Arg(100)->Arg(1'000)->Arg(10'000)->Arg(44'000);

// Applies a signed change of one customer's limit as a process does: verifies the signature, builds the next snapshot and frees the
// previous one.
void takeChange(benchmark::State &state)
{
    schema::Bundle bundle;
    bundle.set_version(1);
    for (i64 i = 0; i < state.range(0); ++i) {
        auto *customer = bundle.add_customers();
        customer->set_name("customer-" + std::to_string(i));
        customer->set_api_key_hash(hash::toHex(hash::asBytes(hash::plainDigest256(customer->name()))));
    }
    schema::Change change;
    change.set_version(2);
    change.set_previous(std::string(32, 'p'));
    *change.mutable_put()->add_customers() = bundle.customers(bundle.customers_size() / 2);
    change.mutable_put()->mutable_customers(0)->set_burst(7);
    const auto key = schema::generateSigningKey();
    const std::vector<std::string> signers{key.publicKey};
    const auto bytes = schema::sign(change, key.secretKey)->SerializeAsString();
    auto snapshot = std::make_shared<const serving::Snapshot>(std::move(bundle));
    for (auto _ : state) {
        schema::SignedChange signedChange;
        schema::Change read;
        const bool isTrusted = signedChange.ParseFromString(bytes) && schema::hasTrustedSignature(signedChange, signers)
            && read.ParseFromString(signedChange.document());
        snapshot = isTrusted ? std::make_shared<const serving::Snapshot>(*snapshot, read) : snapshot;
    }
    state.counters["bytes_per_change"] = static_cast<double>(bytes.size());
}
BENCHMARK(takeChange)->Arg(10)->Arg(1'000)->Arg(44'000)->Unit(benchmark::kMicrosecond);

// Applies a complete signed bundle instead, for comparison with takeChange.
void takeWhole(benchmark::State &state)
{
    std::string document = R"({"version":"2","zones":[{"name":"a"}],"policy":{"block_bytes":8192,"bounded_load_percent":150,)"
                           R"("cache_link_bytes_per_second":"1000","prefill_tokens_per_second":1,"concurrent_weight_loads":1,)"
                           R"("default_deadline_ms":1000},"customers":[)";
    for (i64 i = 0; i < state.range(0); ++i) {
        const auto name = "customer-" + std::to_string(i);
        document += (i == 0 ? "" : ",") + std::string(R"({"name":")") + name + R"(","api_key_hash":")"
            + hash::toHex(hash::asBytes(hash::plainDigest256(name))) + R"("})";
    }
    document += "]}";
    const auto key = schema::generateSigningKey();
    const std::vector<std::string> signers{key.publicKey};
    const auto signedBundle = *schema::sign(document, key.secretKey);
    for (auto _ : state) {
        const bool isTrusted = schema::hasTrustedSignature(signedBundle, signers);
        auto checked = schema::parseBundle("bundle", signedBundle.document());
        if (!isTrusted || !checked.document) {
            state.SkipWithError("the bundle was rejected");
            return;
        }
        const serving::Snapshot snapshot(std::move(*checked.document));
        benchmark::DoNotOptimize(&snapshot);
    }
    state.counters["bytes"] = static_cast<double>(document.size());
}
BENCHMARK(takeWhole)->Arg(10)->Arg(1'000)->Arg(44'000)->Unit(benchmark::kMicrosecond);

void limitCustomers(benchmark::State &state)
{
    limits::CustomerLimits limits(std::chrono::minutes(5));
    std::vector<std::string> names;
    for (i64 i = 0; i < state.range(0); ++i) {
        names.push_back("customer-" + std::to_string(i));
    }
    TimePoint now{};
    std::size_t next = 0;
    const std::size_t before = heapBytes();
    for (auto _ : state) {
        now += Duration(1);
        benchmark::DoNotOptimize(limits.tryAdmit(names[next++ % names.size()], {100, 100}, now));
    }
    state.counters["bytes_per_customer"]
        = static_cast<double>(heapBytes() - before) / static_cast<double>(std::max<std::size_t>(1, limits.size()));
}
BENCHMARK(limitCustomers)->Arg(10)->Arg(1'000)->Arg(44'000);

void admit(benchmark::State &state)
{
    admission::AdmissionPolicy policy;
    policy.warmUp = {16, 16, true};
    policy.queueLimit = static_cast<u32>(state.range(0)) + 1;
    admission::AdmissionController controller(policy);
    TimePoint now{};
    admission::AdmissionRequest request;
    request.deadline = now + std::chrono::hours(1000);
    for (i64 i = 0; i < state.range(0) + 16; ++i) {
        request.ticket = static_cast<admission::Ticket>(i);
        request.customer = "customer-" + std::to_string(i % 40);
        benchmark::DoNotOptimize(controller.request(request, now));
    }
    for (auto _ : state) {
        now += Duration(100);
        benchmark::DoNotOptimize(controller.finishRun({admission::RunOutcome::Success, std::chrono::milliseconds(10), false}, now));
        ++request.ticket;
        benchmark::DoNotOptimize(controller.request(request, now));
    }
}
BENCHMARK(admit)->Arg(1)->Arg(32)->Arg(256)->Unit(benchmark::kMicrosecond);

void hashPrompt(benchmark::State &state)
{
    const std::string prompt(static_cast<std::size_t>(state.range(0)), 'x');
    for (auto _ : state) {
        benchmark::DoNotOptimize(cache::blockKeys({"customer", "model", "", "v1"}, prompt, 8192));
    }
    state.SetBytesProcessed(state.iterations() * state.range(0));
}
BENCHMARK(hashPrompt)->Arg(8 << 10)->Arg(64 << 10)->Arg(512 << 10)->Unit(benchmark::kMicrosecond);

} // namespace
