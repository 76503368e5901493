#pragma once

#include <string>

namespace hickoryknot {

/// Appends lines to a file with one system call each, so that several processes can share the file and a killed process
/// loses no complete line. With an empty file name, lines are discarded.
class LineLog {
public:
    /// Throws std::system_error if the file cannot be opened.
    explicit LineLog(const std::string& fileName);
    ~LineLog();
    LineLog(const LineLog&) = delete;
    LineLog& operator=(const LineLog&) = delete;

    /// Appends the line, prefixed with the wall time in Unix milliseconds.
    void write(const std::string& line);

private:
    int m_file { -1 };
};

} // namespace hickoryknot
