#include "serving/attemptpolicy.h"

namespace burdock {

const char *attemptResultName(AttemptResult result)
{
    switch (result) {
    case AttemptResult::Delivered:
        return "delivered";
    case AttemptResult::CallerLeft:
        return "caller_left";
    case AttemptResult::ConnectFailed:
        return "connect_failed";
    case AttemptResult::NotRun:
        return "not_run";
    case AttemptResult::OtherReplica:
        return "other_replica";
    case AttemptResult::CopyAbsent:
        return "copy_absent";
    case AttemptResult::ErrorResponse:
        return "error_answer";
    case AttemptResult::Lost:
        return "lost";
    case AttemptResult::StreamCut:
        return "stream_cut";
    case AttemptResult::TimedOut:
        return "timed_out";
    }
    return "unknown";
}

bool isComplete(const StreamEnd &end)
{
    const bool hasNothing = !end.hasEvents && !end.isResumed;
    return !end.isInsideEvent && !(end.isCloseDelimited && hasNothing);
}

namespace {

bool isCertainlyNotRun(AttemptResult result)
{
    return result == AttemptResult::ConnectFailed || result == AttemptResult::NotRun
            || result == AttemptResult::OtherReplica || result == AttemptResult::CopyAbsent;
}

/// @return the step that ends the request
NextStep finalStep(const RequestProgress &progress, AttemptResult result)
{
    if (progress.eventsForwarded)
        return NextStep::AbortStream;
    if (progress.runs == 0)
        return NextStep::Refuse;
    return result == AttemptResult::ErrorResponse ? NextStep::ForwardError : NextStep::Fail;
}

bool mayRetry(const ServingRequest &request, const RequestProgress &progress, AttemptResult result,
              const AttemptLimits &limits)
{
    if (result == AttemptResult::TimedOut)
        return false;
    if (progress.eventsForwarded && !(request.resumable && progress.hasResumePoint))
        return false;
    if (!isCertainlyNotRun(result) && !request.repeatable)
        return false;
    return progress.runs < request.attempts
            && progress.sends < request.attempts + limits.maxRejections
            && progress.connectFailures < limits.maxConnectFailures;
}

} // namespace

NextStep nextStep(const ServingRequest &request, const RequestProgress &progress,
                  AttemptResult result, RetryBudget &budget, Instant now,
                  const AttemptLimits &limits)
{
    if (result == AttemptResult::Delivered || result == AttemptResult::CallerLeft)
        return NextStep::Finish;
    if (now >= request.deadline || !mayRetry(request, progress, result, limits))
        return finalStep(progress, result);
    // As long as no byte was sent, the next send is the first one and needs no budget.
    if (progress.sends > 0 && !budget.trySpend())
        return finalStep(progress, result);
    return NextStep::Retry;
}

} // namespace burdock
