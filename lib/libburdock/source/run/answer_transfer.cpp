#include <burdock/run/answer_transfer.hpp>

namespace burdock::run {

RetransmitBuffer::RetransmitBuffer(std::size_t capacity)
    : m_capacity(capacity)
{
}

void RetransmitBuffer::append(std::string_view data)
{
    m_data.append(data);
}

void RetransmitBuffer::acknowledge(u64 offset)
{
    if (offset <= m_begin || offset > length()) {
        return;
    }
    m_data.erase(0, offset - m_begin);
    m_begin = offset;
}

std::string_view RetransmitBuffer::from(u64 offset) const
{
    if (!holds(offset)) {
        return {};
    }
    return std::string_view(m_data).substr(offset - m_begin);
}

bool RetransmitBuffer::holds(u64 offset) const
{
    return offset >= m_begin && offset <= length();
}

bool RetransmitBuffer::hasRoom() const
{
    return m_data.size() < m_capacity;
}

u64 RetransmitBuffer::length() const
{
    return m_begin + m_data.size();
}

ChunkStatus AnswerCursor::accept(u64 offset, std::string_view &data)
{
    if (offset > m_position) {
        return ChunkStatus::Gap;
    }
    const u64 known = m_position - offset;
    if (known >= data.size()) {
        return ChunkStatus::Duplicate;
    }
    data.remove_prefix(known);
    m_position += data.size();
    return ChunkStatus::New;
}

u64 AnswerCursor::position() const
{
    return m_position;
}

} // namespace burdock::run
