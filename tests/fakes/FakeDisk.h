#pragma once

#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "log/Disk.h"

namespace hickoryknot {

/// The files of a pretended disk, which outlive the process that uses them. A crash loses what was not synced.
class FakeFileSystem {
public:
    explicit FakeFileSystem(uint64_t seed)
        : m_random(seed)
    {
    }

    /// The power goes: of each file a random part of the unsynced bytes stays, the last of them possibly damaged, and
    /// unsynced names stay or go.
    void crash();

    /// All files as they would be found after a crash without any luck, to be put back later.
    std::shared_ptr<FakeFileSystem> copyDurable(uint64_t seed) const;

    /// Changes one byte of a file.
    void corruptByte(const std::string& name, size_t offset);

    bool isSyncFailing { false };
    bool isFull { false };

private:
    friend class FakeDisk;
    struct File {
        std::string bytes;
        size_t syncedBytes { 0 };
    };
    using Folder = std::map<std::string, std::shared_ptr<File>>;

    Folder m_live;
    Folder m_durable; // Names as of the last syncFolder().
    pcg32 m_random;
};

/// A Disk on FakeFileSystem.
class FakeDisk final : public Disk {
public:
    explicit FakeDisk(std::shared_ptr<FakeFileSystem> files)
        : m_files(std::move(files))
    {
    }

    Expected<void> append(const std::string& name, std::string_view bytes) override;
    Expected<void> sync(const std::string& name) override;
    Expected<void> syncFolder() override;
    Expected<std::string> read(const std::string& name) override;
    Expected<std::vector<std::string>> list() override;
    Expected<void> rename(const std::string& from, const std::string& to) override;
    Expected<void> remove(const std::string& name) override;
    Expected<void> truncate(const std::string& name, uint64_t size) override;
    std::string description() const override { return "/fake"; }

private:
    std::shared_ptr<FakeFileSystem> m_files;
};

} // namespace hickoryknot
