#include <burdock/run/answer_tail.hpp>

namespace burdock::run {

AnswerTail::AnswerTail(std::size_t capacity)
    : m_capacity(capacity)
{
}

void AnswerTail::append(std::string_view data)
{
    m_data.append(data);
}

void AnswerTail::acknowledge(u64 offset)
{
    if (offset <= m_begin || offset > length()) {
        return;
    }
    m_data.erase(0, offset - m_begin);
    m_begin = offset;
}

std::string_view AnswerTail::from(u64 offset) const
{
    if (!holds(offset)) {
        return {};
    }
    return std::string_view(m_data).substr(offset - m_begin);
}

bool AnswerTail::holds(u64 offset) const
{
    return offset >= m_begin && offset <= length();
}

bool AnswerTail::hasRoom() const
{
    return m_data.size() < m_capacity;
}

u64 AnswerTail::length() const
{
    return m_begin + m_data.size();
}

ChunkUse AnswerCursor::accept(u64 offset, std::string_view &data)
{
    if (offset > m_position) {
        return ChunkUse::Gap;
    }
    const u64 known = m_position - offset;
    if (known >= data.size()) {
        return ChunkUse::Duplicate;
    }
    data.remove_prefix(known);
    m_position += data.size();
    return ChunkUse::Deliver;
}

u64 AnswerCursor::position() const
{
    return m_position;
}

} // namespace burdock::run
