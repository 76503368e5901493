#include "LineLog.h"

#include <chrono>
#include <fcntl.h>
#include <system_error>
#include <unistd.h>

namespace hickoryknot {

LineLog::LineLog(const std::string& fileName)
{
    if (fileName.empty())
        return;
    m_file = ::open(fileName.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0644);
    if (m_file < 0)
        throw std::system_error(errno, std::generic_category(), fileName);
}

LineLog::~LineLog()
{
    if (m_file >= 0)
        ::close(m_file);
}

void LineLog::write(const std::string& line)
{
    if (m_file < 0)
        return;
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    const std::string text = std::to_string(ms) + " " + line + "\n";
    if (::write(m_file, text.data(), text.size()) != static_cast<ssize_t>(text.size()))
        throw std::system_error(errno, std::generic_category(), "log file");
}

} // namespace hickoryknot
