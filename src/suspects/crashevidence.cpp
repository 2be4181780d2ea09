#include "suspects/crashevidence.h"

#include <utility>

namespace burdock {

CrashEvidence::CrashEvidence(EvidenceSettings settings)
    : m_settings(settings)
{
}

bool CrashEvidence::onConnectionEnded(BrokenRun run, Instant now)
{
    const bool isAnswered = run.isAnswered;
    if (m_count >= m_settings.maxWaiting) {
        m_verdicts.push_back({ std::move(run), ReplicaFate::Unknown, "too_many_waiting" });
        return false;
    }
    const std::string replica = run.replica;
    m_waiting[replica].push_back({ std::move(run), now });
    m_count++;
    return !isAnswered;
}

void CrashEvidence::decideAll(const std::string &replica, ReplicaFate fate, const char *reason)
{
    const auto found = m_waiting.find(replica);
    if (found == m_waiting.end())
        return;
    for (Waiting &each : found->second)
        m_verdicts.push_back({ std::move(each.run), fate, reason });
    m_count -= found->second.size();
    m_waiting.erase(found);
}

void CrashEvidence::onRefused(const std::string &replica)
{
    decideAll(replica, ReplicaFate::Ended, "connection_refused");
}

void CrashEvidence::onDelisted(const std::string &replica)
{
    decideAll(replica, ReplicaFate::Ended, "delisted");
}

void CrashEvidence::onAlive(const std::string &replica, Instant since)
{
    const auto found = m_waiting.find(replica);
    if (found == m_waiting.end())
        return;
    std::erase_if(found->second, [&](Waiting &each) {
        if (each.endedAt > since)
            return false;
        m_verdicts.push_back({ std::move(each.run), ReplicaFate::Alive, "alive" });
        m_count--;
        return true;
    });
    if (found->second.empty())
        m_waiting.erase(found);
}

void CrashEvidence::tick(Instant now)
{
    for (auto each = m_waiting.begin(); each != m_waiting.end();) {
        std::erase_if(each->second, [&](Waiting &waiting) {
            if (now < waiting.endedAt + m_settings.waitTime)
                return false;
            m_verdicts.push_back({ std::move(waiting.run), ReplicaFate::Unknown, "no_evidence" });
            m_count--;
            return true;
        });
        each = each->second.empty() ? m_waiting.erase(each) : std::next(each);
    }
}

std::vector<RunVerdict> CrashEvidence::takeVerdicts()
{
    return std::exchange(m_verdicts, {});
}

} // namespace burdock
