#include "fakes/FakeDisk.h"

#include <algorithm>

namespace hickoryknot {

namespace {

tl::unexpected<Error> missing(const std::string& name) { return makeError(ErrorCode::NotFound, name + " is missing"); }

} // namespace

void FakeFileSystem::crash()
{
    m_live = m_random(2) ? m_live : m_durable;
    for (auto& [name, file] : m_live) {
        const size_t unsynced = file->bytes.size() - file->syncedBytes;
        if (!unsynced)
            continue;
        const size_t kept = m_random(static_cast<uint32_t>(unsynced) + 1);
        file->bytes.resize(file->syncedBytes + kept);
        if (kept && m_random(3) == 0)
            file->bytes.back() = static_cast<char>(m_random(256));
        file->syncedBytes = file->bytes.size();
    }
    m_durable = m_live;
}

std::shared_ptr<FakeFileSystem> FakeFileSystem::copyDurable(uint64_t seed) const
{
    auto copy = std::make_shared<FakeFileSystem>(seed);
    for (const auto& [name, file] : m_durable)
        copy->m_live[name]
            = std::make_shared<File>(File { file->bytes.substr(0, file->syncedBytes), file->syncedBytes });
    copy->m_durable = copy->m_live;
    return copy;
}

void FakeFileSystem::corruptByte(const std::string& name, size_t offset)
{
    auto& byte = m_live.at(name)->bytes.at(offset);
    byte = static_cast<char>(byte ^ 0x40);
}

Expected<void> FakeDisk::append(const std::string& name, std::string_view bytes)
{
    auto& file = m_files->m_live[name];
    if (!file)
        file = std::make_shared<FakeFileSystem::File>();
    if (m_files->isFull) {
        file->bytes += bytes.substr(0, bytes.size() / 2);
        return makeError(ErrorCode::Storage, "no space left on device");
    }
    file->bytes += bytes;
    return {};
}

Expected<void> FakeDisk::sync(const std::string& name)
{
    if (m_files->isSyncFailing)
        return makeError(ErrorCode::Storage, "sync failed");
    const auto found = m_files->m_live.find(name);
    if (found == m_files->m_live.end())
        return missing(name);
    found->second->syncedBytes = found->second->bytes.size();
    return {};
}

Expected<void> FakeDisk::syncFolder()
{
    if (m_files->isSyncFailing)
        return makeError(ErrorCode::Storage, "sync of the folder failed");
    m_files->m_durable = m_files->m_live;
    return {};
}

Expected<std::string> FakeDisk::read(const std::string& name)
{
    const auto found = m_files->m_live.find(name);
    if (found == m_files->m_live.end())
        return missing(name);
    return found->second->bytes;
}

Expected<std::vector<std::string>> FakeDisk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, file] : m_files->m_live)
        names.push_back(name);
    return names;
}

Expected<void> FakeDisk::rename(const std::string& from, const std::string& to)
{
    const auto found = m_files->m_live.find(from);
    if (found == m_files->m_live.end())
        return missing(from);
    m_files->m_live[to] = found->second;
    m_files->m_live.erase(from);
    return {};
}

Expected<void> FakeDisk::remove(const std::string& name)
{
    if (!m_files->m_live.erase(name))
        return missing(name);
    return {};
}

Expected<void> FakeDisk::truncate(const std::string& name, uint64_t size)
{
    const auto found = m_files->m_live.find(name);
    if (found == m_files->m_live.end())
        return missing(name);
    found->second->bytes.resize(size);
    found->second->syncedBytes = std::min<size_t>(found->second->syncedBytes, size);
    return {};
}

} // namespace hickoryknot
