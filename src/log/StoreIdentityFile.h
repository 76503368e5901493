#pragma once

#include <string>

#include "core/Ids.h"
#include "log/Disk.h"
#include "log/StoreIdentity.h"

namespace hickoryknot {

/// The JSON file that says whose a data folder is, which store it is and how often it was opened. Replaced as a whole.
class StoreIdentityFile {
public:
    static constexpr const char* name = "identity.json";

    /// Keeps a reference to `disk`.
    StoreIdentityFile(Disk& disk, std::string cell, std::string group, HostId host);

    /// NotFound: there is none. Conflict: the folder belongs to another cell, group or host. Corrupt: the file fails
    /// its checksum. Storage: it cannot be read.
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
