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

Duration NodeDrain::answerExpiryDelay() const
{
    if (!m_settings.serveUntilAnswersExpire)
        return Duration::zero();
    return m_settings.convergenceTime + m_settings.answerLifetime + m_settings.clockMargin;
}

void NodeDrain::start(Instant now)
{
    if (m_phase != DrainPhase::Running)
        return;
    m_phase = DrainPhase::Leaving;
    m_serveDeadline = now + answerExpiryDelay();
    m_holdDeadline = now + m_settings.maxHoldTime;
    m_actions.emplace_back(AnnounceLeaving {});
}

void NodeDrain::setOtherUsableNodes(std::size_t count, Instant now)
{
    // While no other node could take callers, address answers may have contained this node although
    // it leaves, so its address expires later.
    const bool wasAlone = m_otherUsable == 0;
    m_otherUsable = count;
    const bool waits = m_phase == DrainPhase::Leaving && (wasAlone || count == 0);
    if (waits && m_settings.serveUntilAnswersExpire)
        m_serveDeadline = std::max(m_serveDeadline, now + answerExpiryDelay());
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
            m_actions.emplace_back(RefuseNewWork {
                    expired ? "every address answer with this node has expired"
                            : "no other node became usable within the maximum hold time" });
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
    std::vector<std::string> newlyLeaving;
    for (const std::string &upstream : leaving) {
        if (m_byVmList.insert(upstream).second)
            newlyLeaving.push_back(upstream);
    }
    // A report of another node may be newer than this snapshot, so a listed upstream stays leaving
    // once it is known as leaving. It is removed when the VM list no longer contains it; a later VM
    // of the same name is not leaving.
    std::erase_if(m_byVmList,
                  [&](const std::string &upstream) { return !listed.contains(upstream); });
    return newlyLeaving;
}

void LeavingUpstreams::onLeavingRecord(const std::string &upstream)
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
