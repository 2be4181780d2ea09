#include "decide/drain.h"

#include "decide/confighead.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

// ---- This node ----------------------------------------------------------------------------------

std::string drainPhaseName(DrainPhase phase)
{
    switch (phase) {
    case DrainPhase::Running:
        return "running";
    case DrainPhase::Leaving:
        return "leaving";
    case DrainPhase::Refusing:
        return "refusing";
    case DrainPhase::Stopped:
        return "stopped";
    }
    return "stopped";
}

NodeDrain::NodeDrain(DrainSettings settings)
    : m_settings(settings)
{
}

std::vector<DrainAction> NodeDrain::takeActions()
{
    return std::exchange(m_actions, {});
}

Duration NodeDrain::answersExpireAfter() const
{
    if (!m_settings.serveUntilAnswersExpire)
        return Duration::zero();
    return m_settings.convergence + m_settings.answerLifetime + m_settings.clockSlack;
}

void NodeDrain::start(Instant now)
{
    if (m_phase != DrainPhase::Running)
        return;
    m_phase = DrainPhase::Leaving;
    m_serveDeadline = now + answersExpireAfter();
    m_holdDeadline = now + m_settings.holdLimit;
    m_actions.emplace_back(AnnounceLeaving {});
}

void NodeDrain::onOtherUsableNodes(std::size_t count, Instant now)
{
    // While nobody else could take callers, answers may have named this node in spite of all.
    const bool wasAlone = m_otherUsable == 0;
    m_otherUsable = count;
    const bool waits = m_phase == DrainPhase::Leaving && (wasAlone || count == 0);
    if (waits && m_settings.serveUntilAnswersExpire)
        m_serveDeadline = std::max(m_serveDeadline, now + answersExpireAfter());
}

bool NodeDrain::onRequest()
{
    if (m_phase == DrainPhase::Refusing || m_phase == DrainPhase::Stopped)
        return false;
    ++m_inProgress;
    return true;
}

void NodeDrain::onRequestFinished(Instant now)
{
    assert(m_inProgress > 0 && "call onRequestFinished() once for each admitted request");
    --m_inProgress;
    tick(now);
}

void NodeDrain::tick(Instant now)
{
    if (m_phase == DrainPhase::Leaving) {
        const bool alone = m_otherUsable == 0 && m_settings.serveUntilAnswersExpire;
        const bool expired = now >= m_serveDeadline && !alone;
        if (expired || now >= m_holdDeadline) {
            m_phase = DrainPhase::Refusing;
            m_actions.emplace_back(
                    RefuseNewWork { expired ? "every answer with its address has expired"
                                            : "no other node came up within the hold limit" });
        }
    }
    if (m_phase == DrainPhase::Refusing && m_inProgress == 0) {
        m_phase = DrainPhase::Stopped;
        m_actions.emplace_back(StopNow {});
    }
}

// ---- Upstreams ----------------------------------------------------------------------------------

std::vector<std::string> LeavingUpstreams::onVmList(const std::set<std::string> &listed,
                                                    const std::set<std::string> &leaving)
{
    std::vector<std::string> news;
    for (const std::string &upstream : leaving) {
        if (m_byVmList.insert(upstream).second)
            news.push_back(upstream);
    }
    // A note may be ahead of this reading, so that a listed name stays leaving once it was. It is
    // forgotten when the VM is gone; a VM of the same name that comes later starts afresh.
    std::erase_if(m_byVmList,
                  [&](const std::string &upstream) { return !listed.contains(upstream); });
    return news;
}

void LeavingUpstreams::onLeavingNote(const std::string &upstream)
{
    m_byVmList.insert(upstream);
}

void LeavingUpstreams::onConfig(const std::map<std::string, std::string> &texts)
{
    m_byOperator.clear();
    const std::string prefix = drainKey("");
    for (auto it = texts.lower_bound(prefix); it != texts.end(); ++it) {
        if (!it->first.starts_with(prefix))
            break;
        m_byOperator.insert(it->first.substr(prefix.size()));
    }
}

bool LeavingUpstreams::mayReceive(const std::string &upstream) const
{
    return !m_byVmList.contains(upstream) && !m_byOperator.contains(upstream);
}

} // namespace burdock
