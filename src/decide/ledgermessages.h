// Messages between an entry node and the owner of a ledger shard.
//
// Index
//   NodeIdentity   a node name and an incarnation of that node
//   Admit          entry to owner: requests permission for an attempt to send an order
//   AdmitReply     owner to entry: granted, or the reason why not
//   NotOwner       receiver to entry: this node does not own the shard
//   Outcome        entry to owner: the result of a granted order
//   OutcomeAck     owner to entry: the outcome is recorded
//   Release        entry to owner: the attempt has sent nothing and never will
//   LedgerMessage  any of these messages
//   SendToNode     action: send a message to a node
//
// The entry node is the node that received the caller's request. Any message may be lost, delayed
// or duplicated. Admit and Outcome are resent until a reply arrives. Release is sent once; if it is
// lost, the owner's reminder of the open grant triggers another Release.
#pragma once

#include "decide/ledgerrecord.h"

#include <string>
#include <variant>

namespace burdock {

struct NodeIdentity
{
    std::string node;              // name of the node
    std::uint64_t incarnation = 0; // differs for each process of the node

    auto operator<=>(const NodeIdentity &) const = default; // NOLINT(modernize-use-nullptr)
};

struct Admit
{
    OrderKey order;
    std::uint64_t fingerprint = 0; // hash of the request
    std::string attempt;           // unique name; the attempt sends the order at most once
    NodeIdentity entry;            // the requesting entry node
};

enum class AdmitVerdict {
    Granted,   // the attempt may send the order once
    Duplicate, // another attempt holds or held the grant; see `state`
    KeyReused, // the key was used with a request of another fingerprint
    Refused,   // no grant for now; the caller may retry after `retryAfter`
};

enum class DuplicateState {
    InProgress,     // an attempt on a live node holds the grant
    OutcomeUnknown, // the order was sent and may have run; no response was recorded
    Answered,       // the order ran; `answer` holds the recorded response
};

struct AdmitReply
{
    OrderKey order;      // as in the Admit
    std::string attempt; // as in the Admit
    AdmitVerdict verdict = AdmitVerdict::Refused;
    DuplicateState state = DuplicateState::InProgress; // for AdmitVerdict::Duplicate
    RecordedAnswer answer;                             // for DuplicateState::Answered
    std::chrono::milliseconds retryAfter { 0 };        // for AdmitVerdict::Refused
};

struct NotOwner
{
    OrderKey order;      // as in the Admit or Outcome
    std::string attempt; // as in the Admit or Outcome
    std::string hint;    // node that the sender assumes to be the owner; may be empty
};

struct Outcome
{
    OrderKey order;
    std::uint64_t fingerprint = 0;                 // as in the Admit
    std::string attempt;                           // the granted attempt
    NodeIdentity entry;                            // the reporting entry node
    OrderState state = OrderState::OutcomeUnknown; // OutcomeUnknown or Answered
    RecordedAnswer answer;                         // for OrderState::Answered
};

struct OutcomeAck
{
    OrderKey order;      // as in the Outcome
    std::string attempt; // as in the Outcome
};

struct Release
{
    OrderKey order;
    std::string attempt; // the attempt that will never be sent
};

using LedgerMessage = std::variant<Admit, AdmitReply, NotOwner, Outcome, OutcomeAck, Release>;

struct SendToNode
{
    std::string node; // receiver; may be the sending node itself
    LedgerMessage message;
};

} // namespace burdock
