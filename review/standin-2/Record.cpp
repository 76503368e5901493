#include "Record.h"

#include <iomanip>
#include <iostream>

namespace review {

Record::Record(const std::string& path)
    : m_file(path)
{
}

void Record::write(const std::string& line)
{
    const std::lock_guard lock(m_mutex);
    const double seconds = std::chrono::duration<double>(Clock::now() - m_start).count();
    m_file << std::fixed << std::setprecision(3) << std::setw(8) << seconds << "  " << line << std::endl;
    std::cout << std::fixed << std::setprecision(3) << std::setw(8) << seconds << "  " << line << std::endl;
}

} // namespace review
