// The steps of the ledger protocol and the faults that the fault tests inject at them.
//
// Index
//   Step, Fault     enumerations; nameOf() returns the names used in the fault report
//   isApplicable    whether a fault can occur at a step
//   InjectedFault   one fault at the n-th occurrence of a step
#pragma once

#include <array>
#include <string>

namespace burdock::testing {

enum class Step {
    // Messages. The first six must be in the order of the alternatives of LedgerMessage.
    Admit,
    Reply,
    NotOwner,
    Outcome,
    Ack,
    Release,
    Run,
    Response,
    // Calls of the store.
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
    Duplicated,
    SenderKilledBefore,
    SenderKilledAfter,
    ReceiverKilledBefore,
    ReceiverKilledAfter,
    SenderSuspendedBefore,
    SenderSuspendedAfter,
    ReceiverSuspended,
    LinkCut,
    ZoneCut,
    StoreDown,
    StoreSlow,
    ResponseLost,
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

/// @return whether the fault can occur at the step
inline bool isApplicable(Step step, Fault fault)
{
    const bool write = step == Step::Commit || step == Step::Takeover || step == Step::Segment;
    switch (fault) {
    case Fault::Duplicated:
        return step < Step::Run || write; // TCP does not duplicate data
    case Fault::ReceiverKilledBefore:
    case Fault::ReceiverKilledAfter:
    case Fault::ReceiverSuspended:
        // At the other steps the receiver is the store or the service, never a node.
        return !isStoreStep(step) && step != Step::Run;
    case Fault::SenderKilledBefore:
    case Fault::SenderKilledAfter:
    case Fault::SenderSuspendedBefore:
    case Fault::SenderSuspendedAfter:
        return step != Step::Response;
    case Fault::LinkCut:
        return step < Step::Run;
    case Fault::ResponseLost:
    case Fault::WriteDelayed:
        return write;
    case Fault::ConnectRefused:
        return step == Step::Run;
    default:
        return true;
    }
}

struct InjectedFault
{
    Step step = Step::Admit;   // affected step
    Fault fault = Fault::Lost; // fault to inject
    int occurrence = 1;        // inject at this occurrence of the step, from 1
    int occurrencesSeen = 0;   // occurrences of the step so far
};

} // namespace burdock::testing
