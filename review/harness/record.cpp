#include "record.hpp"

#include <iomanip>

namespace review {

Record::Record(const std::string &path)
    : m_file(path)
{
}

void Record::line(const std::string &text)
{
    const std::lock_guard lock(m_mutex);
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << seconds() << "  " << text << std::endl;
}

double Record::seconds() const
{
    return std::chrono::duration<double>(Clock::now() - m_start).count();
}

} // namespace review
