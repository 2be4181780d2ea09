// What to do after an attempt to serve a request ended: pure rules, the same for every interface.
//
// Index
//   AttemptResult        how an attempt ended
//   RequestProgress   what has been done for a request so far
//   NextStep          what to do next
//   nextStep          the rules
//
// The rules keep three promises: a request that must not run twice is sent again only after its
// replica said that it has not run it; "not run" is told to a caller only when that is certain;
// sends beyond the first draw on a budget that bounds the fleet.
#pragma once

#include "decide/retrybudget.h"
#include "serving/servingrequest.h"

namespace burdock {

enum class AttemptResult {
    Delivered,     // the caller has the whole answer
    CallerLeft,    // nobody waits for an answer any more
    ConnectFailed, // nothing was sent
    NotRun,        // the replica said that it has not run the request
    OtherReplica,  // another replica has the address; not run
    CopyAbsent,    // the replica does not hold the model or adapter; not run
    ErrorAnswer,   // the replica answered with an error of its own; it counts as run
    Lost,          // sent, and no whole answer came
    StreamCut,     // events were passed on, then the stream broke off
    TimedOut,      // the time for the request is over
};

/// @return the name in log lines
const char *attemptResultName(AttemptResult end);

struct RequestProgress
{
    int sends = 0;             // attempts of which a byte was sent
    int runs = 0;              // of these, attempts that may have run
    int connectFailures = 0;   // attempts without a connection
    bool eventsPassed = false; // part of a stream is with the caller
};

enum class NextStep {
    Retry,  // choose a replica once more
    PassOn, // give the caller the replica's error answer
    Refuse, // tell the caller that it has not run, and when to come back
    Fail,   // tell the caller that no answer came; it may have run
    Cut,    // end the caller's stream visibly incomplete
    Finish, // nothing is left to do
};

struct AttemptLimits
{
    int connectFailures = 4; // connections tried for one request, since each takes a timeout
    int rejections = 2;      // sends that were rejected, beyond the route's attempts
};

/// @param end of the attempt, which `progress` includes already
/// @param budget pays for a send beyond the first
NextStep nextStep(const ServingRequest &request, const RequestProgress &progress, AttemptResult end,
                  RetryBudget &budget, Instant now, const AttemptLimits &limits = {});

} // namespace burdock
