#include "core/Hash.h"

#include <xxhash.h>

namespace hickoryknot {

uint64_t hashBytes(std::string_view bytes) { return XXH3_64bits(bytes.data(), bytes.size()); }

} // namespace hickoryknot
