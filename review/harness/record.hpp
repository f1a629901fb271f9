#pragma once

#include "http.hpp"

#include <fstream>
#include <mutex>

namespace review {

/** @brief The file that says what was sent, answered and run, with times in seconds since its start. */
class Record
{
public:
    explicit Record(const std::string &path);

    void line(const std::string &text);
    [[nodiscard]] double seconds() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

} // namespace review
