#pragma once

#include <string>

namespace hickoryknot {

/// Appends lines to a file, each with one system call, so that several processes may share the file and a killed
/// process loses no finished line. Without a name, lines are dropped.
class LineLog {
public:
    /// Throws std::system_error if the file cannot be opened.
    explicit LineLog(const std::string& fileName);
    ~LineLog();
    LineLog(const LineLog&) = delete;
    LineLog& operator=(const LineLog&) = delete;

    /// Appends the line with the wall time in Unix milliseconds in front.
    void write(const std::string& line);

private:
    int m_file { -1 };
};

} // namespace hickoryknot
