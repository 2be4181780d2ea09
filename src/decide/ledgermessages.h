// Messages between an entry node and the owner of a ledger shard.
//
// Index
//   NodeIdentity   a node and which of its processes
//   Admit          entry to owner: may this attempt send this order?
//   AdmitReply     owner to entry: granted, or why not
//   NotOwner       owner to entry: ask somebody else
//   Outcome        entry to owner: what became of a granted order
//   OutcomeAck     owner to entry: the outcome is recorded
//   Release        entry to owner: this attempt has sent nothing and never will
//   LedgerMessage  any of them
//   SendToNode     action: carry a message to a node
//
// Every message may be lost, late or doubled. Admit and Outcome are sent again until they are
// answered; Release is sent once, and repaired by the owner's reminders.
#pragma once

#include "decide/ledgerrecord.h"

#include <string>
#include <variant>

namespace burdock {

struct NodeIdentity
{
    std::string node;              // name of the node
    std::uint64_t incarnation = 0; // differs for each process of that node

    auto operator<=>(const NodeIdentity &) const = default; // NOLINT(modernize-use-nullptr)
};

struct Admit
{
    OrderKey order;                // which order
    std::uint64_t fingerprint = 0; // hash of the request
    std::string attempt;           // unique; one is used for at most one send
    NodeIdentity entry;            // who asks
};

enum class AdmitVerdict {
    Granted,   // send it now, once
    Duplicate, // another attempt holds or held the grant; see `state`
    KeyReused, // the key belongs to another request
    Refused,   // not granted; come back later
};

enum class DuplicateState {
    InProgress,     // an attempt on a live node holds the grant
    OutcomeUnknown, // sent, perhaps run, no answer
    Answered,       // see `answer`
};

struct AdmitReply
{
    OrderKey order;                                    // as asked
    std::string attempt;                               // as asked
    AdmitVerdict verdict = AdmitVerdict::Refused;      // the decision
    DuplicateState state = DuplicateState::InProgress; // for Duplicate
    RecordedAnswer answer;                             // for Duplicate and Answered
    std::chrono::milliseconds retryAfter { 0 };        // for Refused
};

struct NotOwner
{
    OrderKey order;      // as asked
    std::string attempt; // as asked
    std::string hint;    // node that the sender takes for the owner; may be empty
};

struct Outcome
{
    OrderKey order;                                // which order
    std::uint64_t fingerprint = 0;                 // as admitted
    std::string attempt;                           // the granted attempt
    NodeIdentity entry;                            // who reports
    OrderState state = OrderState::OutcomeUnknown; // OutcomeUnknown or Answered
    RecordedAnswer answer;                         // for Answered
};

struct OutcomeAck
{
    OrderKey order;      // as reported
    std::string attempt; // as reported
};

struct Release
{
    OrderKey order;      // which order
    std::string attempt; // the attempt that will never be used
};

using LedgerMessage = std::variant<Admit, AdmitReply, NotOwner, Outcome, OutcomeAck, Release>;

struct SendToNode
{
    std::string node;      // receiver; may be the sender itself
    LedgerMessage message; // what to carry
};

} // namespace burdock
