#include "serving/replicachooser.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

constexpr double ProfileSmoothing = 0.05; // weight of the newest request in a service's profile

} // namespace

ReplicaChooser::ReplicaChooser(const ReplicaTable &table, ChooserSettings settings,
                               std::uint64_t seed)
    : m_table(table)
    , m_settings(std::move(settings))
    , m_random(seed)
{
}

void ReplicaChooser::setEngine(const std::string &service, const EngineLimits &engine,
                               std::chrono::milliseconds longestPause)
{
    EngineBounds &bounds = m_engines[service];
    bounds.kvTokens = engine.kvTokens;
    if (longestPause.count() <= 0 || engine.tokensPerEvent <= 0)
        return;
    const Duration steps = engine.tokensPerEvent * m_settings.stepTime;
    bounds.prefillLimit = std::max(m_settings.leastPrefill,
                                   Duration(longestPause) - steps - m_settings.pauseReserve);
    bounds.eventTime = bounds.prefillLimit + steps;
}

bool ReplicaChooser::isCrowded(const ReplicaRow &row, Instant now)
{
    const EngineBounds &bounds = m_engines[row.info.service];
    return m_table.recentPrefill(row, bounds.eventTime, now) > bounds.prefillLimit;
}

int ReplicaChooser::slots(const ReplicaRow &row) const
{
    if (row.load.slots > 0)
        return row.load.slots;
    return row.info.slots > 0 ? row.info.slots : m_settings.defaultSlots;
}

ReplicaChooser::Candidate ReplicaChooser::weigh(const ReplicaRow &row,
                                                const ServingRequest &request,
                                                const PromptChain &chain, bool home, Instant now)
{
    Candidate candidate;
    candidate.row = &row;
    const ServiceProfile &profile = m_profiles[request.service];
    const double load = m_table.estimatedLoad(row, now);
    if (request.model.empty()) {
        const double over = std::max(0.0, load + 1.0 - slots(row)) / slots(row);
        const double crowding = load / slots(row); // spreads requests also below the slots
        candidate.firstByteUs = profile.serviceTimeUs * (1.0 + over + 0.25 * crowding);
    } else {
        int kept = m_prompts.keptTokens(row.generation, chain);
        if (home)
            kept = std::max(kept, chain.sharedTokens);
        candidate.freshTokens = std::max(0, request.promptTokens - kept);
        const Duration prefill =
                m_table.prefillAhead(row, now) + m_table.prefillTime(row, candidate.freshTokens);
        candidate.firstByteUs = double(prefill.count() + m_settings.stepTime.count())
                + load * double(m_settings.stepPerRequest.count());
    }
    if (request.model.empty())
        candidate.firstByteUs *= row.slowness; // prefill times include it
    if (now < row.coldUntil)
        candidate.firstByteUs *= 1.5; // a cold replica works at about two thirds of its speed
    const double distance =
            row.info.zone == m_settings.zone ? 0.0 : double(m_settings.zoneDistance.count());
    double disturbance = 0.0;
    if (!request.model.empty()
        && m_table.prefillTime(row, candidate.freshTokens)
                > m_engines[request.service].prefillLimit)
        disturbance = load * double(m_settings.disturbedStream.count());
    const double failures = 1.0 + m_settings.failureWeight * row.failureShare;
    candidate.cost = (candidate.firstByteUs * failures + distance + disturbance)
            * (1.0 + m_settings.spread * m_random.unit());
    return candidate;
}

double ReplicaChooser::mostRequests(const ReplicaRow &row, const ServingRequest &request)
{
    if (request.model.empty())
        return slots(row) * m_settings.plainOverSlots;
    double most = slots(row);
    if (const int kvTokens = m_engines[request.service].kvTokens; kvTokens > 0)
        most = std::min(most,
                        m_settings.kvShare * kvTokens
                                / std::max(1.0, m_profiles[request.service].meanTokens));
    return std::max(1.0, most);
}

bool ReplicaChooser::hasRoom(const Candidate &candidate, const ServingRequest &request, Instant now)
{
    const ReplicaRow &row = *candidate.row;
    if (m_table.estimatedLoad(row, now) >= mostRequests(row, request))
        return false;
    if (request.model.empty())
        return true;
    const EngineBounds &bounds = m_engines[request.service];
    const Duration recent = m_table.recentPrefill(row, bounds.eventTime, now);
    const Duration own = m_table.prefillTime(row, candidate.freshTokens);
    return recent <= m_settings.prefillIdle || recent + own <= bounds.prefillLimit;
}

ChooserAnswer ReplicaChooser::choose(const ServingRequest &request, const PromptChain &chain,
                                     const std::vector<std::string> &excluded, Instant now)
{
    std::vector<const ReplicaRow *> holders;
    bool held = false;
    for (const std::string &id : m_table.ofService(request.service)) {
        const ReplicaRow *row = m_table.find(id);
        if (row == nullptr)
            continue;
        if (!request.model.empty() && !m_table.holds(*row, request.model, request.adapter, now))
            continue;
        held = held || !row->info.draining;
        if (m_table.usable(*row, now) && !contains(excluded, id))
            holders.push_back(row);
    }
    if (holders.empty())
        return held ? NoReplica::Unusable : NoReplica::NotHeld;

    const ReplicaRow *home = nullptr;
    std::uint64_t highest = 0;
    if (chain.sharedHash != 0) {
        for (const ReplicaRow *row : holders) {
            const std::uint64_t rank = homeRank(chain.sharedHash, row->info.id);
            if (home == nullptr || rank > highest) {
                home = row;
                highest = rank;
            }
        }
    }
    Candidate best;
    for (const ReplicaRow *row : holders) {
        const Candidate candidate = weigh(*row, request, chain, row == home, now);
        if (!hasRoom(candidate, request, now))
            continue;
        if (best.row == nullptr || candidate.cost < best.cost)
            best = candidate;
    }
    if (best.row == nullptr)
        return NoReplica::Full;

    ReplicaChoice choice;
    choice.id = best.row->info.id;
    choice.address = best.row->info.address;
    choice.generation = best.row->generation;
    choice.freshTokens = best.freshTokens;
    choice.load = m_table.estimatedLoad(*best.row, now);
    choice.weighed = static_cast<int>(holders.size());
    choice.expectedFirstByte = Duration(static_cast<Duration::rep>(best.firstByteUs));
    return choice;
}

void ReplicaChooser::onSent(const ServingRequest &request, const PromptChain &chain,
                            const ReplicaChoice &choice)
{
    ServiceProfile &profile = m_profiles[request.service];
    const double tokens = request.promptTokens + request.outputTokens;
    profile.meanTokens += ProfileSmoothing * (tokens - profile.meanTokens);
    if (!chain.hashes.empty())
        m_prompts.onSent(choice.generation, chain);
}

void ReplicaChooser::onFirstByte(const std::string &service, bool model, Duration time)
{
    if (model)
        return;
    ServiceProfile &profile = m_profiles[service];
    profile.serviceTimeUs += ProfileSmoothing * (double(time.count()) - profile.serviceTimeUs);
}

} // namespace burdock
