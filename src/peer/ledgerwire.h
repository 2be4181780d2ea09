// Ledger messages, ledger objects and quarantine messages in their wire form.
//
// Index
//   toWire, fromWire                       messages
//   ledgerHeadBytes, parseLedgerHead       a shard's head object
//   ledgerSegmentBytes, parseLedgerSegment one of its segments
//
// Reading returns nothing for a message that is incomplete or holds an unknown number.
#pragma once

#include "decide/ledgermessages.h"
#include "decide/quarantine.h"

#include <optional>
#include <string>
#include <vector>

namespace burdock {

namespace wire {
class LedgerMessage;
class QuarantineMessage;
} // namespace wire

void toWire(const LedgerMessage &message, wire::LedgerMessage &out);
std::optional<LedgerMessage> fromWire(const wire::LedgerMessage &in);

void toWire(const QuarantineMessage &message, wire::QuarantineMessage &out);
std::optional<QuarantineMessage> fromWire(const wire::QuarantineMessage &in);

std::string ledgerHeadBytes(const LedgerHead &head);
std::optional<LedgerHead> parseLedgerHead(const std::string &bytes);

std::string ledgerSegmentBytes(const std::vector<LedgerRecord> &records);
std::optional<std::vector<LedgerRecord>> parseLedgerSegment(const std::string &bytes);

} // namespace burdock
