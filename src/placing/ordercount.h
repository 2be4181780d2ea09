// Number of orders that a replica has accepted, and what may still become of orders without an
// answer.
//
// Index
//   UnansweredOrder   an order whose outcome is not known
//   OrderCount        the number, and the state that belongs to it
//
// How it works. Each order names the number of orders that its replica had accepted, and the
// replica carries it out only at that number. So what a replica holds changes only with the number,
// and of the orders that name one number at most one takes effect. This holds the other way round
// only while the number is never believed to be higher than it is: an order that names a number
// which its replica has not reached can be carried out later, on a state that nobody planned it
// for. Therefore
//   - an answer raises the number only if it shows that its order was carried out;
//   - an order without an answer counts while the replica is below its number. A replica that
//     restarts counts anew, so a number that was passed does not end this; only time does.
#pragma once

#include "placing/enginetypes.h"

#include <set>
#include <string>
#include <vector>

namespace burdock {

struct UnansweredOrder
{
    EngineCommand command;
    Instant forgottenAt; // by then it was carried out, or never is
};

class OrderCount
{
public:
    /// @return orders that the replica has accepted; only a lower bound unless isKnown()
    std::uint64_t accepted() const { return m_accepted; }

    /// @return whether the number is certain, so that an order may name it
    bool isKnown() const { return m_isKnown; }

    /// The number is uncertain until the next report.
    void setUnknown() { m_isKnown = false; }

    /// @return "model" and "model/adapter" that are there at this number, or on their way
    const std::set<std::string> &copies() const { return m_copies; }

    /// Takes what the replica reported of itself.
    void onReport(const EngineReport &report);

    /// Takes the answer that an order is being carried out.
    void onAccepted(const EngineCommand &command);

    /// Takes the answer that the replica is in the ordered state. That of an adapter which is
    /// unloaded at once reads the same as that of one which was not there; only the first one
    /// counts.
    /// @return whether it is known which of both it was, and the number with it
    bool onAlreadyDone(const EngineCommand &command);

    /// Records that an order got no answer.
    /// @param forgottenAt it is not carried out later than this
    void onUnanswered(const EngineCommand &command, Instant forgottenAt);

    /// A new process counts anew and holds nothing. Orders without an answer may still reach it.
    void onNewProcess();

    void expire(Instant now);

    /// @return whether any order may still be carried out
    bool hasUnanswered() const { return !m_unanswered.empty(); }

    /// @return loads that may be carried out on a later state than the present one
    std::vector<const EngineCommand *> lateLoads() const;

private:
    std::uint64_t m_accepted = 0;
    bool m_isKnown = false;
    std::set<std::string> m_copies; // there at this number
    std::vector<UnansweredOrder> m_unanswered;
};

} // namespace burdock
