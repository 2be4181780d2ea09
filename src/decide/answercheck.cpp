#include "decide/answercheck.h"

#include <cassert>

namespace burdock {

AnswerCheck::AnswerCheck(std::uint64_t request, AnswerCheckSettings settings)
    : m_request(request)
    , m_settings(settings)
{
}

void AnswerCheck::beginAttempt(int attempt)
{
    assert(m_state != State::Whole && m_state != State::Truncated
           && "the answer has ended; begin no further attempt");
    assert(attempt > m_attempt && "number attempts upwards from 1");
    m_state = State::Open;
    m_attempt = attempt;
    m_deliveredBefore = m_delivered;
}

AnswerAction AnswerCheck::onPart(const AnswerPart &part)
{
    if (m_state == State::Whole || m_state == State::Truncated)
        return DropPart { DropReason::AfterEnd };
    if (m_settings.checkRequest && part.request != m_request)
        return DropPart { DropReason::OtherRequest };
    if (m_settings.checkAttempt && (m_state != State::Open || part.attempt != m_attempt))
        return DropPart { DropReason::EarlierAttempt };
    if (m_settings.checkBegin && part.begin != m_deliveredBefore)
        return breakOff(true); // it does not go on from what the caller has
    if (m_settings.checkIndex && part.index < m_delivered)
        return DropPart { DropReason::Duplicate };
    if (m_settings.checkIndex && part.index > m_delivered)
        return breakOff(false); // a part is missing in between

    m_delivered++;
    if (part.last)
        m_state = State::Whole;
    return DeliverPart { part.last };
}

AnswerAction AnswerCheck::onStreamEnded(int attempt)
{
    if (m_state != State::Open || attempt != m_attempt)
        return DropPart { DropReason::EarlierAttempt };
    if (!m_settings.checkEndMark) {
        m_state = State::Whole;
        return DeliverPart { true };
    }
    const bool noProgress = m_delivered == m_deliveredBefore;
    return breakOff(noProgress);
}

AnswerAction AnswerCheck::breakOff(bool elsewhere)
{
    if (!m_settings.resumable || m_resumes >= m_settings.maxResumes) {
        m_state = State::Truncated;
        return TruncateAnswer { m_delivered };
    }
    m_resumes++;
    m_state = State::Between;
    return ResumeAnswer { m_delivered, elsewhere };
}

} // namespace burdock
