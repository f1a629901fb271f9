#include <burdock/serving/endpoint/once_store.hpp>

#include <burdock/runtime/sleep.hpp>
#include <burdock/serving/config/config_watcher.hpp>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace burdock::serving {

namespace {

using once::Action;

constexpr u32 MaxWriteAttempts = 120;
constexpr Duration WriteRetryInterval = std::chrono::milliseconds(500);
constexpr std::size_t MaxRecordedBodyBytes = 64 * 1024;

schema::OnceRecord makeRecord(schema::OnceRecord::State state, const OnceClaim &claim)
{
    schema::OnceRecord record;
    record.set_state(state);
    record.set_nonce(std::string(hash::asBytes(claim.nonce)));
    record.set_request_digest(std::string(hash::asBytes(claim.digest)));
    return record;
}

once::Record toRecord(const schema::OnceRecord &stored)
{
    once::Record record;
    record.state = stored.state() == schema::OnceRecord::DONE ? once::RecordState::Done
        : stored.state() == schema::OnceRecord::FREE          ? once::RecordState::Free
                                                              : once::RecordState::Claimed;
    std::copy_n(stored.nonce().begin(), std::min(stored.nonce().size(), record.nonce.size()), record.nonce.begin());
    const auto &digest = stored.request_digest();
    std::copy_n(digest.begin(), std::min(digest.size(), record.requestDigest.size()), record.requestDigest.begin());
    return record;
}

} // namespace

OnceStore::OnceStore(Process &process, clients::ObjectStore &store)
    : m_process(process)
    , m_store(store)
{
}

boost::asio::awaitable<OnceClaim> OnceStore::claim(const std::string &customer, const schema::ServiceWork &work)
{
    OnceClaim claim;
    claim.nonce = m_process.random.id();
    claim.digest = hash::digest256({work.service(), work.method(), work.path(), work.content_type(), work.body()});
    // Each field is hashed with its length, so no two customers share a record, whatever their names and keys are.
    claim.id = {"once", hash::toHex(hash::asBytes(hash::digest256({customer, work.service(), work.idempotency_key()})))};
    const std::string claimRecord = makeRecord(schema::OnceRecord::CLAIMED, claim).SerializeAsString();
    once::OnceStateMachine stateMachine(claim.nonce, claim.digest);
    u64 readVersion = 0;
    Action action = stateMachine.start();
    while (true) {
        if (action == Action::CreateRecord || action == Action::ReplaceFree) {
            const auto written = action == Action::CreateRecord ? co_await m_store.create(claim.id, claimRecord)
                                                                : co_await m_store.replace(claim.id, claimRecord, readVersion);
            claim.version = written.version;
            action = stateMachine.handleClaimResult(written.status);
            continue;
        }
        if (action != Action::ReadRecord) {
            break;
        }
        const auto read = co_await m_store.read(claim.id);
        std::optional<once::Record> record;
        if (read.status == StoreResult::Found && claim.recorded.ParseFromString(read.value)) {
            record = toRecord(claim.recorded);
        }
        readVersion = read.version;
        claim.version = read.version;
        action = stateMachine.handleReadResult(read.status, record);
    }
    claim.refusal = stateMachine.refusal();
    claim.action = action == Action::RefuseAndRelease ? Action::Refuse : action;
    if (action == Action::RefuseAndRelease) {
        claim.version = 0;
        boost::asio::co_spawn(m_process.workers, release(claim), boost::asio::detached);
    }
    co_return claim;
}

boost::asio::awaitable<void> OnceStore::recordDone(const OnceClaim &claim, u32 status, const std::string &contentType,
                                                   const std::string &body)
{
    auto record = makeRecord(schema::OnceRecord::DONE, claim);
    record.set_status(status);
    record.set_content_type(contentType);
    if (body.size() <= MaxRecordedBodyBytes) {
        record.set_body(body);
    }
    co_await replaceOwnClaim(claim, record);
}

boost::asio::awaitable<void> OnceStore::release(const OnceClaim &claim)
{
    co_await replaceOwnClaim(claim, makeRecord(schema::OnceRecord::FREE, claim));
}

// The platform may fail between claim and outcome, so that a write gets no response. Retrying is safe with the version that was read
// and only while the record is this claim, because nobody else writes to a claimed record.
boost::asio::awaitable<void> OnceStore::replaceOwnClaim(const OnceClaim &claim, const schema::OnceRecord &record)
{
    u64 version = claim.version;
    for (u32 attempt = 0; attempt < MaxWriteAttempts; ++attempt) {
        if (version != 0) {
            const auto written = co_await m_store.replace(claim.id, record.SerializeAsString(), version);
            if (written.status == StoreResult::Written) {
                co_return;
            }
        }
        const auto read = co_await m_store.read(claim.id);
        schema::OnceRecord stored;
        const bool isOurs = read.status == StoreResult::Found && stored.ParseFromString(read.value)
            && stored.nonce() == hash::asBytes(claim.nonce) && stored.state() == schema::OnceRecord::CLAIMED;
        if (read.status == StoreResult::Found && !isOurs) {
            co_return;
        }
        version = isOurs ? read.version : 0;
        co_await runtime::sleepFor(jittered(WriteRetryInterval, m_process.random));
    }
    m_process.logger.event(runtime::LogLevel::Error, "once_record_unwritten", {{"record", std::string_view(claim.id.name)}});
}

} // namespace burdock::serving
