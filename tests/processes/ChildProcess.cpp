#include "processes/ChildProcess.h"

#include <csignal>
#include <fcntl.h>
#include <spawn.h>
#include <stdexcept>
#include <sys/wait.h>
#include <unistd.h>

namespace hickoryknot {

ChildProcess::ChildProcess(const std::vector<std::string>& arguments, const std::string& logFile)
{
    std::vector<char*> raw;
    for (const auto& argument : arguments)
        raw.push_back(const_cast<char*>(argument.c_str()));
    raw.push_back(nullptr);

    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
    const int error = posix_spawn(&m_pid, raw[0], &actions, nullptr, raw.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (error)
        throw std::runtime_error("cannot start " + arguments[0]);
}

ChildProcess::~ChildProcess()
{
    if (exitCode())
        return;
    ::kill(m_pid, SIGCONT);
    ::kill(m_pid, SIGKILL);
    ::waitpid(m_pid, nullptr, 0);
}

void ChildProcess::signal(int number) const
{
    if (!m_exitCode)
        ::kill(m_pid, number);
}

std::optional<int> ChildProcess::exitCode()
{
    int status = 0;
    if (!m_exitCode && ::waitpid(m_pid, &status, WNOHANG) == m_pid)
        m_exitCode = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    return m_exitCode;
}

} // namespace hickoryknot
