#pragma once

#include <string>

#include "core/Ids.h"
#include "log/Disk.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// The JSON file with the owner (cell, group, host), store id and incarnation of a data folder. Replaced atomically.
class StoreIdentityFile {
public:
    static constexpr const char* name = "identity.json";

    /// Keeps a reference to `disk`.
    StoreIdentityFile(Disk& disk, std::string cell, std::string group, HostId host);

    /// NotFound: the file does not exist. Conflict: the folder belongs to another cell, group or host. Corrupt: the
    /// file fails its checksum. Storage: it cannot be read.
    Expected<StoreIdentity> read() const;

    /// Storage: a write or sync failed.
    Expected<void> write(const StoreIdentity&) const;

private:
    Disk& m_disk;
    std::string m_cell;
    std::string m_group;
    HostId m_host;
};

} // namespace hickoryknot
