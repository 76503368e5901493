#include "state/VariantCodec.h"

namespace hickoryknot {

std::string encodeCellCommand(const CellCommand& command) { return encodeVariant(command); }

Expected<CellCommand> decodeCellCommand(std::string_view bytes) { return decodeVariant<CellCommand>(bytes); }

std::string encodeZoneCommand(const ZoneCommand& command) { return encodeVariant(command); }

Expected<ZoneCommand> decodeZoneCommand(std::string_view bytes) { return decodeVariant<ZoneCommand>(bytes); }

std::string encodeCommandResult(const CommandResult& result) { return encodeVariant(result); }

Expected<CommandResult> decodeCommandResult(std::string_view bytes) { return decodeVariant<CommandResult>(bytes); }

} // namespace hickoryknot
