#pragma once

#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace hickoryknot {

/// A program started by a test; killed when the object is destroyed.
class ChildProcess {
public:
    /// Starts `arguments[0]` with standard output and error appended to `logFile`.
    ChildProcess(const std::vector<std::string>& arguments, const std::string& logFile);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const;

    pid_t pid() const { return m_pid; }

    /// The exit code if the program has ended by itself; -1 if a signal ended it.
    std::optional<int> exitCode();

private:
    pid_t m_pid { -1 };
    std::optional<int> m_exitCode;
};

} // namespace hickoryknot
