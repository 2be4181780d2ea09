// How late this process handles events, for decisions that depend on when something really
// happened.
//
// On a VM whose processor is used up, a request waits unread in its socket, and the close of a
// caller's connection is seen late as well. The process's own timer shows by how much: whatever is
// handled now may have been there for that long. Requests are dated back by it, so that their
// deadlines are the callers', and those that cannot be answered in time are refused at once.
#pragma once

#include "base/instant.h"

namespace burdock {

class ProcessingDelay
{
public:
    /// Takes a run of a timer.
    /// @param dueAt when it should have run
    void onTimer(Instant dueAt, Instant now);

    /// @return how long events currently wait until they are handled
    Duration current() const { return m_delay; }

    /// @return whether a request can still be answered: it takes several events, each of which
    /// waits
    bool canAnswer(Instant deadline, Instant now) const;

private:
    Duration m_delay {};
};

} // namespace burdock
