#include <burdock/serving/entry/run_table.hpp>

#include <burdock/serving/link_messages.hpp>

namespace burdock::serving {

void RunTable::add(const std::string &runId, const std::string &peer, u32 attempt, std::shared_ptr<RunMailbox> mailbox)
{
    const std::lock_guard lock(m_mutex);
    m_runs[runId] = {peer, attempt, std::move(mailbox)};
}

void RunTable::remove(const std::string &runId)
{
    const std::lock_guard lock(m_mutex);
    m_runs.erase(runId);
}

void RunTable::dispatch(const std::string &peer, const schema::LinkMessage &message)
{
    const auto *ref = runRefOf(message);
    if (ref == nullptr) {
        return;
    }
    const std::lock_guard lock(m_mutex);
    const auto found = m_runs.find(ref->run_id());
    if (found == m_runs.end() || found->second.attempt != ref->attempt() || found->second.peer != peer) {
        return;
    }
    found->second.mailbox->push({RunEventKind::Message, message});
}

void RunTable::notify(const std::string &peer, RunEventKind kind)
{
    const std::lock_guard lock(m_mutex);
    for (const auto &[runId, run] : m_runs) {
        if (run.peer == peer) {
            run.mailbox->push({kind, {}});
        }
    }
}

std::size_t RunTable::size() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs.size();
}

} // namespace burdock::serving
