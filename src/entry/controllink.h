// What the entry process tells control processes: its view of the fleet, and the demand it meets.
#pragma once

#include "entry/entrystate.h"

namespace burdock {

class ControlLink
{
public:
    explicit ControlLink(EntryState &state);

    /// Answers this node's control process.
    void onViewRequest(const wire::ViewRequest &request);

    /// Sends the demand since the last call to each node that may hold the placement lease.
    void reportDemand();

private:
    std::vector<std::string> liveNodes() const;

    EntryState &m_state;
    std::string m_leaseHolder; // as the control process saw it last
};

} // namespace burdock
