#include "serving/replicachooser.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

constexpr double ProfileSmoothing = 0.05; // weight of the latest request in a service's profile

} // namespace

ReplicaChooser::ReplicaChooser(const ReplicaTable &table, ChooserSettings settings,
                               std::uint64_t seed)
    : m_table(table)
    , m_settings(std::move(settings))
    , m_random(seed)
{
}

void ReplicaChooser::setEngineLimits(const std::string &service, const EngineLimits &engine,
                                     std::chrono::milliseconds maxPause)
{
    EngineBounds &bounds = m_engines[service];
    bounds.kvTokens = engine.kvTokens;
    if (maxPause.count() <= 0 || engine.tokensPerEvent <= 0)
        return;
    const Duration eventTime = engine.tokensPerEvent * m_settings.stepTime;
    bounds.prefillLimit = std::max(m_settings.minPrefillLimit,
                                   Duration(maxPause) - eventTime - m_settings.pauseMargin);
    bounds.prefillWindow = bounds.prefillLimit + eventTime;
}

bool ReplicaChooser::isPrefillSaturated(const ReplicaRow &row, Instant now)
{
    const EngineBounds &bounds = m_engines[row.info.service];
    return m_table.recentPrefill(row, bounds.prefillWindow, now) > bounds.prefillLimit;
}

int ReplicaChooser::slots(const ReplicaRow &row) const
{
    if (row.load.slots > 0)
        return row.load.slots;
    return row.info.slots > 0 ? row.info.slots : m_settings.defaultSlots;
}

ReplicaChooser::Candidate ReplicaChooser::evaluate(const ReplicaRow &row,
                                                   const ServingRequest &request,
                                                   const PromptChain &chain, bool preferred,
                                                   Instant now)
{
    Candidate candidate;
    candidate.row = &row;
    candidate.wantsNews = m_table.limits().wantsNews(row.info.id, now);
    const ServiceProfile &profile = m_profiles[request.service];
    const double load = m_table.estimatedLoad(row, now);
    const double workRatio = m_table.workRatio(row, now);
    if (request.model.empty()) {
        const double excess = std::max(0.0, load + 1.0 - slots(row)) / slots(row);
        const double utilization = load / slots(row); // spreads requests while slots are free, too
        candidate.firstByteUs = profile.serviceTimeUs * (1.0 + excess + 0.25 * utilization);
    } else {
        int cached = m_prefixCaches.cachedTokens(row.generation, chain);
        if (preferred)
            cached = std::max(cached, chain.sharedTokens);
        candidate.freshTokens = std::max(0, request.promptTokens - cached);
        const Duration prefill = m_table.prefillAhead(row, now)
                + m_table.prefillTime(row, candidate.freshTokens, now);
        // A wrong work time is corrected by the slowness, so that the two belong together.
        const double stepFactor = row.statesWorkTime ? workRatio : 1.0;
        candidate.firstByteUs = double(prefill.count())
                + stepFactor
                        * (double(m_settings.stepTime.count())
                           + load * double(m_settings.stepTimePerRequest.count()));
    }
    if (request.model.empty())
        candidate.firstByteUs *= workRatio; // prefillTime() includes both for models
    if (now < row.coldUntil)
        candidate.firstByteUs *= 1.5; // a cold replica runs at about two thirds of its speed
    const double zoneCost =
            row.info.zone == m_settings.zone ? 0.0 : double(m_settings.otherZoneCost.count());
    double streamCost = 0.0;
    if (!request.model.empty()
        && m_table.prefillTime(row, candidate.freshTokens, now)
                > m_engines[request.service].prefillLimit)
        streamCost = load * double(m_settings.disturbedStreamCost.count());
    const double failureFactor = 1.0 + m_settings.failureWeight * row.failureRate;
    candidate.costBeforeJitter = candidate.firstByteUs * failureFactor + zoneCost + streamCost;
    candidate.cost = candidate.costBeforeJitter * (1.0 + m_settings.costJitter * m_random.unit());
    return candidate;
}

double ReplicaChooser::maxRequests(const ReplicaRow &row, const ServingRequest &request)
{
    if (request.model.empty())
        return slots(row) * m_settings.maxPlainLoadPerSlot;
    double limit = slots(row);
    if (const int kvTokens = m_engines[request.service].kvTokens; kvTokens > 0)
        limit = std::min(limit,
                         m_settings.maxKvShare * kvTokens
                                 / std::max(1.0, m_profiles[request.service].meanTokens));
    return std::max(1.0, limit);
}

bool ReplicaChooser::hasCapacity(const Candidate &candidate, const ServingRequest &request,
                                 Instant now)
{
    const ReplicaRow &row = *candidate.row;
    if (m_table.estimatedLoad(row, now) >= maxRequests(row, request))
        return false;
    if (request.model.empty())
        return true;
    const EngineBounds &bounds = m_engines[request.service];
    const Duration recent = m_table.recentPrefill(row, bounds.prefillWindow, now);
    const Duration own = m_table.prefillTime(row, candidate.freshTokens, now);
    return recent <= m_settings.negligiblePrefill || recent + own <= bounds.prefillLimit;
}

/// A replica that is about to terminate is chosen only if no other has capacity, one whose request
/// limit may be outdated before all others.
bool ReplicaChooser::isBetter(const Candidate &left, const Candidate &right)
{
    const bool leftLeaves = left.row->drainedAt != Instant {};
    const bool rightLeaves = right.row->drainedAt != Instant {};
    if (leftLeaves != rightLeaves)
        return rightLeaves;
    return left.wantsNews == right.wantsNews ? left.cost < right.cost : left.wantsNews;
}

/// @return whether a request to a replica that states its work time needs a new connection
bool ReplicaChooser::needsConnection(const ReplicaRow &row) const
{
    return row.statesWorkTime && m_connections != nullptr
            && !m_connections->hasIdleConnection(row.info.address);
}

/// @param best needs a new connection
/// @param others candidates that state their work time
/// @return the best candidate with an idle connection whose cost is nearly equal, or `best`
ReplicaChooser::Candidate
ReplicaChooser::preferConnected(const Candidate &best, const std::vector<Candidate> &others) const
{
    const double highestCost = best.costBeforeJitter * (1.0 + m_settings.equalCostShare)
            + double(m_settings.newConnectionCost.count());
    Candidate preferred = best;
    for (const Candidate &other : others) {
        const bool isNearlyEqual = other.costBeforeJitter <= highestCost
                && other.wantsNews == best.wantsNews
                && (other.row->drainedAt != Instant {}) == (best.row->drainedAt != Instant {});
        if (isNearlyEqual && (preferred.row == best.row || isBetter(other, preferred))
            && !needsConnection(*other.row))
            preferred = other;
    }
    return preferred;
}

ChooserResult ReplicaChooser::choose(const ServingRequest &request, const PromptChain &chain,
                                     const std::vector<std::string> &excluded, Instant now)
{
    std::vector<const ReplicaRow *> holders;
    bool held = false;
    bool limited = false;
    for (const std::string &id : m_table.replicasOfModel(request.service, request.model)) {
        const ReplicaRow *row = m_table.find(id);
        if (row == nullptr)
            continue;
        if (!request.model.empty() && !m_table.holds(*row, request.model, request.adapter, now))
            continue;
        held = held || !m_table.isDrained(*row, now);
        if (!m_table.isUsable(*row, now) || contains(excluded, id))
            continue;
        if (m_table.limits().maySend(id, now))
            holders.push_back(row);
        else
            limited = true;
    }
    if (holders.empty() && limited)
        return NoReplica::Limited;
    if (holders.empty())
        return held ? NoReplica::Unusable : NoReplica::NotResident;

    const ReplicaRow *preferred = nullptr;
    std::uint64_t highestRank = 0;
    if (chain.sharedHash != 0) {
        for (const ReplicaRow *row : holders) {
            const std::uint64_t rank = rendezvousRank(chain.sharedHash, row->info.id);
            if (preferred == nullptr || rank > highestRank) {
                preferred = row;
                highestRank = rank;
            }
        }
    }
    Candidate best;
    std::vector<Candidate> usable;
    for (const ReplicaRow *row : holders) {
        const Candidate candidate = evaluate(*row, request, chain, row == preferred, now);
        if (!hasCapacity(candidate, request, now))
            continue;
        if (best.row == nullptr || isBetter(candidate, best))
            best = candidate;
        if (row->statesWorkTime && m_connections != nullptr)
            usable.push_back(candidate);
    }
    if (best.row == nullptr)
        return NoReplica::Full;
    if (needsConnection(*best.row))
        best = preferConnected(best, usable);

    ReplicaChoice choice;
    choice.id = best.row->info.id;
    choice.address = best.row->info.address;
    choice.generation = best.row->generation;
    choice.startedMs = best.row->info.startedMs;
    choice.freshTokens = best.freshTokens;
    choice.load = m_table.estimatedLoad(*best.row, now);
    choice.comparedReplicas = static_cast<int>(holders.size());
    choice.slowness = m_table.slowness(*best.row, now);
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
        m_prefixCaches.onSent(choice.generation, chain);
}

void ReplicaChooser::onFirstByte(const std::string &service, bool model, Duration time)
{
    if (model)
        return;
    ServiceProfile &profile = m_profiles[service];
    profile.serviceTimeUs += ProfileSmoothing * (double(time.count()) - profile.serviceTimeUs);
}

} // namespace burdock
