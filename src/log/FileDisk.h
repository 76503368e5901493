#pragma once

#include <map>
#include <memory>

#include "log/Disk.h"

namespace hickoryknot {

/// A Disk on a POSIX folder, locked exclusively with a lock file. Keeps files open between append() and sync().
/// Not thread safe; one thread at a time may use it.
class FileDisk final : public Disk {
public:
    /// Creates the folder if it is missing. Storage: the folder cannot be created or opened, or another process
    /// has locked it.
    static Expected<std::unique_ptr<FileDisk>> open(const std::string& folder);

    FileDisk(const FileDisk&) = delete;
    FileDisk& operator=(const FileDisk&) = delete;
    ~FileDisk() override;

    Expected<void> append(const std::string& name, std::string_view bytes) override;
    Expected<void> sync(const std::string& name) override;
    Expected<void> syncFolder() override;
    Expected<std::string> read(const std::string& name) override;
    Expected<std::vector<std::string>> list() override;
    Expected<void> rename(const std::string& from, const std::string& to) override;
    Expected<void> remove(const std::string& name) override;
    Expected<void> truncate(const std::string& name, uint64_t size) override;
    std::string description() const override { return m_folder; }

private:
    FileDisk(std::string folder, int folderHandle, int lockHandle);
    std::string path(const std::string& name) const;
    Expected<int> appendHandle(const std::string& name);
    void closeHandle(const std::string& name);

    std::string m_folder;
    int m_folderHandle;
    int m_lockHandle;
    std::map<std::string, int> m_handles; // Files open for appending.
};

} // namespace hickoryknot
