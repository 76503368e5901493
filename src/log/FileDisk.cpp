#include "log/FileDisk.h"

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <dirent.h>
#include <fcntl.h>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace hickoryknot {

namespace {

constexpr const char* lockName = "lock";

tl::unexpected<Error> systemError(const char* action, const std::string& path)
{
    const ErrorCode code = errno == ENOENT ? ErrorCode::NotFound : ErrorCode::Storage;
    const std::string reason = std::strerror(errno); // NOLINT(concurrency-mt-unsafe)
    return makeError(code, std::string("cannot ") + action + " " + path + ": " + reason);
}

Expected<void> writeAll(int handle, std::string_view bytes, const std::string& path)
{
    while (!bytes.empty()) {
        const ssize_t written = ::write(handle, bytes.data(), bytes.size());
        if (written < 0 && errno == EINTR)
            continue;
        if (written < 0)
            return systemError("write to", path);
        bytes.remove_prefix(static_cast<size_t>(written));
    }
    return {};
}

// Creates the folder and its missing parents.
Expected<void> createFolders(const std::string& folder)
{
    for (size_t end = folder.find('/', 1);; end = folder.find('/', end + 1)) {
        const std::string part = folder.substr(0, end);
        if (::mkdir(part.c_str(), 0755) < 0 && errno != EEXIST)
            return systemError("create folder", part);
        if (end == std::string::npos)
            return {};
    }
}

} // namespace

Expected<std::unique_ptr<FileDisk>> FileDisk::open(const std::string& folder)
{
    if (const auto created = createFolders(folder); !created)
        return tl::unexpected(created.error());
    const int folderHandle = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (folderHandle < 0)
        return systemError("open folder", folder);
    const int lockHandle = ::openat(folderHandle, lockName, O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    if (lockHandle < 0) {
        const auto error = systemError("open lock file in", folder);
        ::close(folderHandle);
        return error;
    }
    // Two processes on one folder would mix their records.
    if (::flock(lockHandle, LOCK_EX | LOCK_NB) < 0) {
        ::close(lockHandle);
        ::close(folderHandle);
        return makeError(ErrorCode::Storage, "another process uses the data folder " + folder);
    }
    return std::unique_ptr<FileDisk>(new FileDisk(folder, folderHandle, lockHandle));
}

FileDisk::FileDisk(std::string folder, int folderHandle, int lockHandle)
    : m_folder(std::move(folder))
    , m_folderHandle(folderHandle)
    , m_lockHandle(lockHandle)
{
}

FileDisk::~FileDisk()
{
    for (const auto& [name, handle] : m_handles)
        ::close(handle);
    ::close(m_lockHandle);
    ::close(m_folderHandle);
}

std::string FileDisk::path(const std::string& name) const { return m_folder + "/" + name; }

Expected<int> FileDisk::appendHandle(const std::string& name)
{
    if (const auto found = m_handles.find(name); found != m_handles.end())
        return found->second;
    const int handle = ::openat(m_folderHandle, name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
    if (handle < 0)
        return systemError("open", path(name));
    m_handles.emplace(name, handle);
    return handle;
}

void FileDisk::closeHandle(const std::string& name)
{
    const auto found = m_handles.find(name);
    if (found == m_handles.end())
        return;
    ::close(found->second);
    m_handles.erase(found);
}

Expected<void> FileDisk::append(const std::string& name, std::string_view bytes)
{
    const auto handle = appendHandle(name);
    if (!handle)
        return tl::unexpected(handle.error());
    return writeAll(*handle, bytes, path(name));
}

Expected<void> FileDisk::sync(const std::string& name)
{
    const auto handle = appendHandle(name);
    if (!handle)
        return tl::unexpected(handle.error());
    if (::fdatasync(*handle) < 0)
        return systemError("sync", path(name));
    return {};
}

Expected<void> FileDisk::syncFolder()
{
    if (::fsync(m_folderHandle) < 0)
        return systemError("sync folder", m_folder);
    return {};
}

Expected<std::string> FileDisk::read(const std::string& name)
{
    const int handle = ::openat(m_folderHandle, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (handle < 0)
        return systemError("open", path(name));
    std::string content;
    char buffer[65536];
    ssize_t count = 0;
    while ((count = ::read(handle, buffer, sizeof buffer)) != 0) {
        if (count < 0 && errno == EINTR)
            continue;
        if (count < 0) {
            const auto error = systemError("read", path(name));
            ::close(handle);
            return error;
        }
        content.append(buffer, static_cast<size_t>(count));
    }
    ::close(handle);
    return content;
}

Expected<std::vector<std::string>> FileDisk::list()
{
    DIR* folder = ::opendir(m_folder.c_str());
    if (!folder)
        return systemError("list", m_folder);
    std::vector<std::string> names;
    while (const dirent* entry = ::readdir(folder)) { // NOLINT(concurrency-mt-unsafe)
        struct stat status { };
        const bool isFile = ::fstatat(m_folderHandle, entry->d_name, &status, 0) == 0 && S_ISREG(status.st_mode);
        if (isFile && std::string_view(entry->d_name) != lockName)
            names.emplace_back(entry->d_name);
    }
    ::closedir(folder);
    std::sort(names.begin(), names.end());
    return names;
}

Expected<void> FileDisk::rename(const std::string& from, const std::string& to)
{
    closeHandle(from);
    closeHandle(to);
    if (::renameat(m_folderHandle, from.c_str(), m_folderHandle, to.c_str()) < 0)
        return systemError("rename", path(from));
    return {};
}

Expected<void> FileDisk::remove(const std::string& name)
{
    closeHandle(name);
    if (::unlinkat(m_folderHandle, name.c_str(), 0) < 0)
        return systemError("remove", path(name));
    return {};
}

Expected<void> FileDisk::truncate(const std::string& name, uint64_t size)
{
    const auto handle = appendHandle(name);
    if (!handle)
        return tl::unexpected(handle.error());
    if (::ftruncate(*handle, static_cast<off_t>(size)) < 0)
        return systemError("truncate", path(name));
    return {};
}

} // namespace hickoryknot
