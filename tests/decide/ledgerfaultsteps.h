// Steps of the ledger's protocol and the faults that may strike at them, as data.
//
// Index
//   Step, Fault   with their names
//   applies       whether a fault can strike at a step at all
//   Strike        one fault at one passage of one step
#pragma once

#include <array>
#include <string>

namespace burdock::testing {

enum class Step {
    // messages; the first six in the order of LedgerMessage
    Admit,
    Reply,
    NotOwner,
    Outcome,
    Ack,
    Release,
    Run,
    Answer,
    // calls of the store
    Commit,
    Takeover,
    Segment,
    Delete,
    HeadRead,
    SegmentRead,
    Count
};

inline constexpr std::array<const char *, static_cast<std::size_t>(Step::Count)> StepNames = {
    "admit",  "reply",  "not-owner", "outcome", "ack",    "release",   "run",
    "answer", "commit", "takeover",  "segment", "delete", "head-read", "segment-read"
};

inline const char *nameOf(Step step)
{
    return StepNames[static_cast<std::size_t>(step)];
}

inline bool isStoreStep(Step step)
{
    return step >= Step::Commit;
}

enum class Fault {
    Lost,
    Late,
    Doubled,
    SenderKilledBefore,
    SenderKilledAfter,
    ReceiverKilledBefore,
    ReceiverKilledAfter,
    SenderFrozenBefore,
    SenderFrozenAfter,
    ReceiverFrozen,
    LinkCut,
    ZoneCut,
    StoreDown,
    StoreSlow,
    AnswerLost,
    WriteDelayed,
    SplitMembership,
    CallerResends,
    ConnectRefused,
    Count
};

inline constexpr std::array<const char *, static_cast<std::size_t>(Fault::Count)> FaultNames = {
    "lost",
    "late",
    "doubled",
    "sender killed before",
    "sender killed after",
    "receiver killed before",
    "receiver killed after",
    "sender frozen before",
    "sender frozen after",
    "receiver frozen",
    "link cut one way",
    "availability zone cut off",
    "store down",
    "store slow",
    "answer lost after the write",
    "write takes effect after the read-back",
    "split membership",
    "caller resends elsewhere",
    "connect refused",
};

inline const char *nameOf(Fault fault)
{
    return FaultNames[static_cast<std::size_t>(fault)];
}

/// @return whether the fault can strike at the step at all
inline bool applies(Step step, Fault fault)
{
    const bool write = step == Step::Commit || step == Step::Takeover || step == Step::Segment;
    switch (fault) {
    case Fault::Doubled:
        return step < Step::Run || write; // a connection does not double what it carries
    case Fault::ReceiverKilledBefore:
    case Fault::ReceiverKilledAfter:
    case Fault::ReceiverFrozen:
        return !isStoreStep(step) && step != Step::Run; // the service itself stays up
    case Fault::SenderKilledBefore:
    case Fault::SenderKilledAfter:
    case Fault::SenderFrozenBefore:
    case Fault::SenderFrozenAfter:
        return step != Step::Answer;
    case Fault::LinkCut:
        return step < Step::Run;
    case Fault::AnswerLost:
    case Fault::WriteDelayed:
        return write;
    case Fault::ConnectRefused:
        return step == Step::Run;
    default:
        return true;
    }
}

struct Strike
{
    Step step = Step::Admit;   // where
    Fault fault = Fault::Lost; // what
    int passage = 1;           // at which passage of the step
    int passed = 0;            // passages so far
};

} // namespace burdock::testing
