// Decides what follows an attempt to serve a request: retry, forward an error, or report a failure.
//
// Index
//   AttemptResult     how an attempt ended
//   StreamEnd         where and how a replica's stream ended without a transport error
//   RequestProgress   the attempts made for a request so far
//   NextStep          what the caller of nextStep() has to do
//   AttemptLimits     bounds on the attempts for one request
//   nextStep()        the decision
//
// An attempt sends a request to one replica. nextStep() does no I/O, keeps no state of its own and
// applies to every interface by which requests arrive. It guarantees:
// - A request that may not be repeated is sent again only if its replica confirmed that it has not
//   run it, or if nothing was sent.
// - NextStep::Refuse, which tells the caller that its request was not run, is returned only if no
//   attempt may have run it.
// - Each send beyond the first is paid for by a retry budget, which bounds the retries of the whole
//   fleet.
#pragma once

#include "decide/retrybudget.h"
#include "serving/servingrequest.h"

namespace burdock {

enum class AttemptResult {
    Delivered,     // the caller has received the complete response
    CallerLeft,    // the caller disconnected
    ConnectFailed, // no connection was established, so nothing was sent
    NotRun,        // the replica confirmed that it has not run the request
    OtherReplica,  // a different replica listens at the address; the request was not run
    CopyAbsent,    // the replica does not hold the model or adapter; the request was not run
    ErrorResponse, // the replica responded with an error of its own; counts as run
    Lost,          // the request was sent, but no complete response arrived
    StreamCut,     // the stream broke off after events were forwarded to the caller
    TimedOut,      // the time allowed for the request ran out
};

/// @return the value that log records use for this result, e.g. "not_run"
const char *attemptResultName(AttemptResult result);

struct StreamEnd
{
    bool isInsideEvent = false;    // an event had begun and was not finished
    bool isCloseDelimited = false; // nothing but the end of the connection marked the end
    bool hasEvents = false;        // the replica sent at least one event
    bool isResumed = false;        // it was to continue after an event that the caller has
};

/// A replica that crashes closes its connection like one that has finished, and either may be
/// behind the end of a stream that has neither a length nor chunks.
/// @return whether the stream may be delivered as complete; otherwise it was broken off
bool isComplete(const StreamEnd &end);

struct RequestProgress
{
    int sends = 0;                // attempts that sent at least one byte
    int runs = 0;                 // attempts among the sends that may have run the request
    int connectFailures = 0;      // attempts that established no connection
    bool eventsForwarded = false; // whether the caller has received a part of the event stream
    bool hasResumePoint = true;   // whether the last event forwarded had an id to continue after
};

enum class NextStep {
    Retry,        // choose a replica again
    ForwardError, // forward the replica's error response to the caller
    Refuse,       // tell the caller that the request was not run, and when to retry
    Fail,         // tell the caller that no response arrived and that the request may have run
    AbortStream,  // end the caller's stream so that it is recognizably incomplete
    Finish,       // nothing is left to do
};

struct AttemptLimits
{
    int maxConnectFailures = 4; // per request; each failed connection may cost a full timeout
    // Sends allowed beyond the request's attempts, to replace sends that replicas did not run.
    int maxRejections = 2;
};

/// Decides what to do after an attempt.
/// @param progress includes the attempt that just ended
/// @param result the result of that attempt
/// @param budget is charged if the step is a send beyond the first
NextStep nextStep(const ServingRequest &request, const RequestProgress &progress,
                  AttemptResult result, RetryBudget &budget, Instant now,
                  const AttemptLimits &limits = {});

} // namespace burdock
