#include "serving/attemptpolicy.h"

namespace burdock {

const char *attemptResultName(AttemptResult end)
{
    switch (end) {
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
    case AttemptResult::ErrorAnswer:
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

namespace {

bool isCertainlyNotRun(AttemptResult end)
{
    return end == AttemptResult::ConnectFailed || end == AttemptResult::NotRun
            || end == AttemptResult::OtherReplica || end == AttemptResult::CopyAbsent;
}

NextStep giveUp(const RequestProgress &progress, AttemptResult end)
{
    if (progress.eventsPassed)
        return NextStep::Cut;
    if (progress.runs == 0)
        return NextStep::Refuse;
    return end == AttemptResult::ErrorAnswer ? NextStep::PassOn : NextStep::Fail;
}

bool maySendAgain(const ServingRequest &request, const RequestProgress &progress, AttemptResult end,
                  const AttemptLimits &limits)
{
    if (end == AttemptResult::TimedOut)
        return false;
    if (progress.eventsPassed && !request.resumable)
        return false;
    if (!isCertainlyNotRun(end) && !request.repeatable)
        return false;
    return progress.runs < request.attempts && progress.sends < request.attempts + limits.rejections
            && progress.connectFailures < limits.connectFailures;
}

} // namespace

NextStep nextStep(const ServingRequest &request, const RequestProgress &progress, AttemptResult end,
                  RetryBudget &budget, Instant now, const AttemptLimits &limits)
{
    if (end == AttemptResult::Delivered || end == AttemptResult::CallerLeft)
        return NextStep::Finish;
    if (now >= request.deadline || !maySendAgain(request, progress, end, limits))
        return giveUp(progress, end);
    // Without a byte sent before, the next send is the request's first arrival at a replica.
    if (progress.sends > 0 && !budget.trySpend())
        return giveUp(progress, end);
    return NextStep::Retry;
}

} // namespace burdock
