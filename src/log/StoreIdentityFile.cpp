#include "log/StoreIdentityFile.h"

#include "core/Hash.h"

#include <nlohmann/json.hpp>

namespace hickoryknot {

namespace {

constexpr const char* temporaryName = "identity.tmp";
constexpr int formatVersion = 1;

// The checksum covers all other fields in their sorted order.
uint64_t checksumOf(nlohmann::json json)
{
    json.erase("checksum");
    const std::string text = json.dump();
    return hashBytes(text);
}

} // namespace

StoreIdentityFile::StoreIdentityFile(Disk& disk, std::string cell, std::string group, HostId host)
    : m_disk(disk)
    , m_cell(std::move(cell))
    , m_group(std::move(group))
    , m_host(std::move(host))
{
}

Expected<StoreIdentity> StoreIdentityFile::read() const
{
    const auto text = m_disk.read(name);
    if (!text)
        return tl::unexpected(text.error());
    const std::string place = m_disk.description() + "/" + name;
    try {
        const auto json = nlohmann::json::parse(*text);
        if (json.at("checksum").get<uint64_t>() != checksumOf(json))
            return makeError(ErrorCode::Corrupt,
                place
                    + " at offset 0: the file fails its checksum. Move the whole folder aside and start with an empty "
                      "one; see docs/storage.md");
        const std::string owner = json.at("cell").get<std::string>() + "/" + json.at("group").get<std::string>() + "/"
            + json.at("host").get<std::string>();
        const std::string self = m_cell + "/" + m_group + "/" + m_host.value();
        if (owner != self || json.at("format").get<int>() != formatVersion)
            return makeError(ErrorCode::Conflict,
                place + ": the folder belongs to " + owner + " (cell/group/host, format "
                    + std::to_string(json.at("format").get<int>()) + "), this is " + self
                    + ". Check the data folder setting of this host");
        return StoreIdentity { .store = static_cast<StoreId>(json.at("storeId").get<uint64_t>()),
            .incarnation = json.at("incarnation").get<uint64_t>() };
    } catch (const nlohmann::json::exception& exception) {
        return makeError(ErrorCode::Corrupt,
            place + " at offset 0: the file is malformed (" + exception.what()
                + "). Move the whole folder aside and start with an empty one; see docs/storage.md");
    }
}

Expected<void> StoreIdentityFile::write(const StoreIdentity& identity) const
{
    nlohmann::json json { { "format", formatVersion }, { "cell", m_cell }, { "group", m_group },
        { "host", m_host.value() }, { "storeId", static_cast<uint64_t>(identity.store) },
        { "incarnation", identity.incarnation } };
    json["checksum"] = checksumOf(json);
    if (auto removed = m_disk.remove(temporaryName); !removed && removed.error().code != ErrorCode::NotFound)
        return removed;
    return m_disk.append(temporaryName, json.dump(2) + "\n")
        .and_then([&] { return m_disk.sync(temporaryName); })
        .and_then([&] { return m_disk.rename(temporaryName, name); })
        .and_then([&] { return m_disk.syncFolder(); });
}

} // namespace hickoryknot
