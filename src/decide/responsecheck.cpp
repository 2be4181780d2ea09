#include "decide/responsecheck.h"

#include <cassert>

namespace burdock {

ResponseCheck::ResponseCheck(std::uint64_t request, ResponseCheckSettings settings)
    : m_request(request)
    , m_settings(settings)
{
}

void ResponseCheck::beginAttempt(int attempt)
{
    assert(m_state != State::Complete && m_state != State::Truncated
           && "beginAttempt() must not be called after the response has ended");
    assert(attempt > m_attempt && "attempt numbers must increase and start at 1");
    m_state = State::Streaming;
    m_attempt = attempt;
    m_deliveredAtAttemptStart = m_delivered;
}

ResponseAction ResponseCheck::onPart(const ResponsePart &part)
{
    if (m_state == State::Complete || m_state == State::Truncated)
        return DropPart { DropReason::AfterEnd };
    if (m_settings.checkRequest && part.request != m_request)
        return DropPart { DropReason::OtherRequest };
    if (m_settings.checkAttempt && (m_state != State::Streaming || part.attempt != m_attempt))
        return DropPart { DropReason::EarlierAttempt };
    if (m_settings.checkBegin && part.begin != m_deliveredAtAttemptStart)
        return endAttempt(true); // the stream does not continue the delivered parts
    if (m_settings.checkIndex && part.index < m_delivered)
        return DropPart { DropReason::Duplicate };
    if (m_settings.checkIndex && part.index > m_delivered)
        return endAttempt(false); // at least one part is missing

    m_delivered++;
    if (part.last)
        m_state = State::Complete;
    return DeliverPart { part.last };
}

ResponseAction ResponseCheck::onStreamEnded(int attempt)
{
    if (m_state != State::Streaming || attempt != m_attempt)
        return DropPart { DropReason::EarlierAttempt };
    if (!m_settings.checkEndMark) {
        m_state = State::Complete;
        return DeliverPart { true };
    }
    const bool noProgress = m_delivered == m_deliveredAtAttemptStart;
    return endAttempt(noProgress);
}

ResponseAction ResponseCheck::endAttempt(bool otherUpstream)
{
    if (!m_settings.resumable || m_resumes >= m_settings.maxResumes) {
        m_state = State::Truncated;
        return TruncateResponse { m_delivered };
    }
    m_resumes++;
    m_state = State::AwaitingAttempt;
    return ResumeResponse { m_delivered, otherUpstream };
}

} // namespace burdock
