#include <burdock/serving/endpoint/response_stream.hpp>

namespace burdock::serving {

ResponseStream::ResponseStream(runtime::link::Server &server, const schema::RunRef &ref, const runtime::link::PeerId &peer,
                               std::size_t bufferBytes, std::shared_ptr<RunSignals> signals)
    : m_server(server)
    , m_ref(ref)
    , m_signals(std::move(signals))
    , m_peer(peer)
    , m_buffer(bufferBytes)
{
}

void ResponseStream::sendAccepted(const schema::EndpointLoad &load)
{
    const std::lock_guard lock(m_mutex);
    m_load = load;
    schema::LinkMessage message;
    *message.mutable_run_accepted()->mutable_ref() = m_ref;
    *message.mutable_run_accepted()->mutable_load() = load;
    send(message);
}

void ResponseStream::sendHead(schema::RunHead head)
{
    const std::lock_guard lock(m_mutex);
    *head.mutable_ref() = m_ref;
    m_head = std::move(head);
    schema::LinkMessage message;
    *message.mutable_run_head() = *m_head;
    send(message);
}

void ResponseStream::sendData(std::string_view data)
{
    const std::lock_guard lock(m_mutex);
    const u64 offset = m_buffer.length();
    m_buffer.append(data);
    sendDataFrom(offset);
}

void ResponseStream::finish(schema::RunEnd end)
{
    const std::lock_guard lock(m_mutex);
    *end.mutable_ref() = m_ref;
    end.set_length(m_buffer.length());
    m_end = std::move(end);
    sendOutcome();
}

void ResponseStream::refuse(const Refusal &refusal, u64 configVersion, const schema::EndpointLoad &load)
{
    const std::lock_guard lock(m_mutex);
    m_refused.emplace();
    *m_refused->mutable_ref() = m_ref;
    m_refused->set_reason(static_cast<u32>(refusal.reason));
    m_refused->set_retry_after_ms(static_cast<u32>(toMilliseconds(refusal.retryAfter)));
    m_refused->set_config_version(configVersion);
    m_refused->set_may_have_run(refusal.mayHaveRun);
    *m_refused->mutable_load() = load;
    sendOutcome();
}

boost::asio::awaitable<bool> ResponseStream::waitForRoom(TimePoint deadline)
{
    while (true) {
        {
            const std::lock_guard lock(m_mutex);
            if (m_isCancelled) {
                co_return false;
            }
            if (m_buffer.hasRoom()) {
                co_return true;
            }
        }
        if (!co_await m_signals->receive(deadline)) {
            co_return false;
        }
    }
}

void ResponseStream::resume(const runtime::link::PeerId &peer, u64 offset)
{
    const std::lock_guard lock(m_mutex);
    m_peer = peer;
    schema::LinkMessage accepted;
    *accepted.mutable_run_accepted()->mutable_ref() = m_ref;
    *accepted.mutable_run_accepted()->mutable_load() = m_load;
    send(accepted);
    if (!m_buffer.holds(offset)) {
        schema::LinkMessage broken;
        *broken.mutable_run_end()->mutable_ref() = m_ref;
        broken.mutable_run_end()->set_outcome(schema::RunEnd::BROKEN);
        broken.mutable_run_end()->set_may_have_run(true);
        send(broken);
        return;
    }
    if (m_head) {
        schema::LinkMessage head;
        *head.mutable_run_head() = *m_head;
        send(head);
    }
    sendDataFrom(offset);
    sendOutcome();
}

void ResponseStream::acknowledge(u64 offset)
{
    const std::lock_guard lock(m_mutex);
    m_buffer.acknowledge(offset);
    m_isDelivered = m_end && offset >= m_buffer.length();
    m_signals->push(RunSignal::Acknowledged);
}

void ResponseStream::cancel()
{
    const std::lock_guard lock(m_mutex);
    m_isCancelled = true;
    m_signals->push(RunSignal::Cancelled);
}

bool ResponseStream::isCancelled() const
{
    const std::lock_guard lock(m_mutex);
    return m_isCancelled;
}

runtime::link::PeerId ResponseStream::peer() const
{
    const std::lock_guard lock(m_mutex);
    return m_peer;
}

bool ResponseStream::isDelivered() const
{
    const std::lock_guard lock(m_mutex);
    // A refusal need not be kept for a resume: the entry learns the same from the outcome UNKNOWN.
    return m_isDelivered || m_refused || (m_isCancelled && hasEndedLocked());
}

bool ResponseStream::hasEnded() const
{
    const std::lock_guard lock(m_mutex);
    return hasEndedLocked();
}

bool ResponseStream::hasEndedLocked() const
{
    return m_end || m_refused;
}

void ResponseStream::send(const schema::LinkMessage &message) const
{
    m_server.send(m_peer, message);
}

void ResponseStream::sendDataFrom(u64 offset) const
{
    const auto data = m_buffer.from(offset);
    if (data.empty()) {
        return;
    }
    schema::LinkMessage message;
    *message.mutable_run_chunk()->mutable_ref() = m_ref;
    message.mutable_run_chunk()->set_offset(offset);
    message.mutable_run_chunk()->set_data(std::string(data));
    send(message);
}

void ResponseStream::sendOutcome() const
{
    schema::LinkMessage message;
    if (m_end) {
        *message.mutable_run_end() = *m_end;
    } else if (m_refused) {
        *message.mutable_run_refused() = *m_refused;
    } else {
        return;
    }
    send(message);
}

} // namespace burdock::serving
