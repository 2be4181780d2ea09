// Placement's stored objects and engine messages as JSON.
//
// Index
//   leaseToJson, leaseFromJson       object lease/placement/REGION
//   journalToJson, journalFromJson   object placement/REGION
//   orderToJson                      body of POST /orders at an engine
//   engineStateFromJson              answer of GET /state at an engine
#pragma once

#include "decide/lease.h"
#include "decide/orderjournal.h"
#include "decide/placementtypes.h"

#include <optional>
#include <string>

namespace burdock {

std::string leaseToJson(const LeaseValue &value);

/// @return nothing when the text is not a lease
std::optional<LeaseValue> leaseFromJson(const std::string &text);

std::string journalToJson(const JournalValue &value);

/// @return nothing when the text is not a journal
std::optional<JournalValue> journalFromJson(const std::string &text);

std::string orderToJson(const EngineOrder &order);

/// Reads an engine's report. Name, group, zone and epoch are the caller's to fill in.
/// @return nothing when the text is not a report
std::optional<EngineState> engineStateFromJson(const std::string &text);

} // namespace burdock
