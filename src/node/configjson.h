// The configuration head as JSON, as it is stored in the Object API.
#pragma once

#include "decide/confighead.h"
#include "decide/servicecatalog.h"

#include <optional>
#include <string>

namespace burdock {

std::string configHeadToJson(const ConfigHead &head);

/// @return nothing when the text is not a configuration head
std::optional<ConfigHead> configHeadFromJson(const std::string &text);

/// Reads the services out of a configuration's entries.
/// @param revision the configuration's revision
/// @param texts key -> text of every entry
/// @return the catalog, or the first entry's error
Result<ServiceCatalog> catalogFromTexts(std::uint64_t revision, const std::string &publishId,
                                        const std::map<std::string, std::string> &texts);

} // namespace burdock
