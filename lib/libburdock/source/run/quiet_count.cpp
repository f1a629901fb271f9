#include <burdock/run/quiet_count.hpp>

namespace burdock::run {

QuietCount::QuietCount(u32 looks)
    : m_needed(looks)
{
}

bool QuietCount::look(bool isBusy)
{
    m_quiet = isBusy ? 0 : m_quiet + 1;
    return m_quiet >= m_needed;
}

} // namespace burdock::run
