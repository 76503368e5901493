#pragma once

#include <map>
#include <memory>
#include <pcg_random.hpp>

#include "log/Disk.h"

namespace hickoryknot {

/// Files of a fake disk. They outlive the process that uses them; a crash loses unsynced data.
class FakeFileSystem {
public:
    explicit FakeFileSystem(uint64_t seed)
        : m_random(seed)
    {
    }

    /// Simulates a power failure: each file keeps a random part of its unsynced bytes, the last of which may be
    /// corrupted, and unsynced directory changes are either all kept or all lost.
    void crash();

    /// Copy of the synced data only, as after the worst possible crash, to be restored later.
    std::shared_ptr<FakeFileSystem> copyDurable(uint64_t seed) const;

    /// Flips one bit of a byte of a file.
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
    Folder m_durable; // Directory as of the last syncFolder().
    pcg32 m_random;
};

/// Disk implementation on a FakeFileSystem.
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
