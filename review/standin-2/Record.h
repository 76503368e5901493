#pragma once

#include <fstream>
#include <mutex>
#include <string>

#include "Http.h"

namespace review {

/// The record of a case: what was sent, answered and run, with the seconds since the start of the case.
class Record {
public:
    explicit Record(const std::string& path);

    void write(const std::string& line);

private:
    const Clock::time_point m_start { Clock::now() };
    std::mutex m_mutex;
    std::ofstream m_file;
};

} // namespace review
