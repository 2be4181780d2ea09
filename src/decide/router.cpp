#include "decide/router.h"

#include <algorithm>
#include <sstream>

namespace burdock {

// ---- Log fields ---------------------------------------------------------------------------------

std::string describeRouting(const RoutingRequest &request, const RoutingResult &result)
{
    std::ostringstream text;
    text << "request=" << request.id << " class=" << requestClassName(request.requestClass)
         << " key=" << request.key;
    if (!request.adapter.empty())
        text << " adapter=" << request.adapter;
    if (const auto *choice = std::get_if<RoutingChoice>(&result)) {
        text << " upstream=" << choice->upstream << " delay_us=" << choice->expectedDelay.count()
             << " load=" << choice->load << " prefix_blocks=" << choice->prefixBlocks
             << " loads_adapter=" << (choice->loadsAdapter ? 1 : 0)
             << " weighed=" << choice->candidateCount << " reason="
             << (choice->probe                        ? "probe"
                         : request.preferIdleUpstream ? "least_at_stake"
                                                      : "least_expected_delay");
    } else {
        text << " upstream=none reason="
             << (std::get<NoRoute>(result) == NoRoute::NoFreeSlot ? "no_room" : "no_upstream");
    }
    return text.str();
}

// ---- Rules of all policies ----------------------------------------------------------------------

bool mayReceive(const UpstreamTable &table, const UpstreamRow &row, const RoutingRequest &request,
                Instant now)
{
    if (!table.isSelectable(row, now))
        return false;
    // An at-most-once request cannot be sent again, so it is never used as the probe of an
    // upstream that may still be down.
    const bool isProbe = row.state != UpstreamState::Reachable;
    if (isProbe && request.requestClass == RequestClass::AtMostOnce)
        return false;
    return std::find(request.excluded.begin(), request.excluded.end(), row.info.name)
            == request.excluded.end();
}

// ---- Estimated delay ----------------------------------------------------------------------------

CostRouter::CostRouter(const UpstreamTable &table, const PrefixIndex &prefixes,
                       RouterSettings settings, std::uint64_t seed)
    : m_table(table)
    , m_prefixes(prefixes)
    , m_settings(std::move(settings))
    , m_random(seed)
{
}

Duration CostRouter::adapterDelay(const UpstreamRow &row, const RoutingRequest &request) const
{
    if (m_table.hasAdapter(row, request.key, request.adapter))
        return Duration::zero();
    const int inFlight = (m_table.ownAdapterLoads() + 1) * m_settings.entryNodes;
    const double slowdown = std::max(1.0, double(inFlight) / m_settings.adapterLoadsInFlight);
    return Duration(static_cast<Duration::rep>(m_settings.adapterLoadTime.count() * slowdown));
}

Duration CostRouter::expectedDelay(const UpstreamRow &row, const RoutingRequest &request,
                                   Instant now) const
{
    constexpr double MicrosecondsPerSecond = 1e6;
    const double microsecondsPerToken = MicrosecondsPerSecond / m_settings.prefillTokensPerSecond;
    const std::size_t heldBlocks = m_prefixes.matchLength(row.number, request.prefix);
    const int cachedTokens = static_cast<int>(heldBlocks) * m_settings.blockTokens;
    const int load = m_table.estimatedLoad(row, now);
    const int queued = std::max(row.report.waiting, load - m_table.slots(row));

    double delay =
            row.info.zone == m_settings.zone ? 0.0 : double(m_settings.zoneRoundTrip.count());
    delay += double(adapterDelay(row, request).count());
    delay += std::max(0, request.promptTokens - cachedTokens) * microsecondsPerToken;
    delay += queued * m_settings.meanPromptTokens * microsecondsPerToken;
    delay += load * double(m_settings.stepPerRequest.count());
    return Duration(static_cast<Duration::rep>(delay));
}

bool CostRouter::hasFreeSlot(const UpstreamRow &row, const RoutingRequest &request,
                             Instant now) const
{
    const int slots = m_table.slots(row);
    const bool leavesReserve =
            request.requestClass == RequestClass::MayWait && !request.mayUseReservedSlots;
    const int usableSlots =
            leavesReserve ? std::max(1, static_cast<int>(slots * m_settings.mayWaitShare)) : slots;
    return m_table.estimatedLoad(row, now) < usableSlots;
}

// ---- Choice -------------------------------------------------------------------------------------

void CostRouter::addCandidate(const UpstreamRow *row, const RoutingRequest &request, Instant now)
{
    if (row == nullptr || !mayReceive(m_table, *row, request, now))
        return;
    if (std::find(m_candidates.begin(), m_candidates.end(), row) == m_candidates.end())
        m_candidates.push_back(row);
}

void CostRouter::collectCandidates(const RoutingRequest &request, Instant now)
{
    const std::vector<const UpstreamRow *> &holders = m_table.holders(request.key);
    m_candidates.clear();
    const auto draws = static_cast<std::size_t>(m_settings.draws);
    if (holders.size() <= draws || request.preferIdleUpstream) {
        for (const UpstreamRow *row : holders)
            addCandidate(row, request, now);
        return;
    }
    for (std::size_t each = 0; each < draws; ++each)
        addCandidate(holders[m_random.below(holders.size())], request, now);
    const auto matches =
            m_prefixes.find(request.prefix, static_cast<std::size_t>(m_settings.prefixCandidates),
                            m_random.below(holders.size()));
    for (const PrefixMatch &match : matches) {
        const UpstreamRow *row = m_table.findByNumber(match.upstream);
        if (row != nullptr && m_table.holdsKey(*row, request.key))
            addCandidate(row, request, now);
    }
}

RoutingResult CostRouter::choose(const RoutingRequest &request, Instant now)
{
    collectCandidates(request, now);
    const auto isFull = [&](const UpstreamRow *row) {
        return !hasFreeSlot(*row, request, now);
    };
    std::erase_if(m_candidates, isFull);
    if (m_candidates.empty()) { // the sample has no free slot: consider all holders
        for (const UpstreamRow *row : m_table.holders(request.key))
            addCandidate(row, request, now);
        if (m_candidates.empty())
            return NoRoute::NoUpstream;
        std::erase_if(m_candidates, isFull);
        if (m_candidates.empty())
            return NoRoute::NoFreeSlot;
    }

    const UpstreamRow *best = nullptr;
    Duration bestDelay {};
    for (const UpstreamRow *row : m_candidates) {
        const Duration delay = request.preferIdleUpstream
                ? Duration(m_table.estimatedLoad(*row, now))
                : expectedDelay(*row, request, now);
        if (best == nullptr || delay < bestDelay) {
            best = row;
            bestDelay = delay;
        }
    }
    return makeChoice(*best, request, now);
}

RoutingChoice CostRouter::makeChoice(const UpstreamRow &row, const RoutingRequest &request,
                                     Instant now) const
{
    RoutingChoice choice;
    choice.upstream = row.info.name;
    choice.address = row.info.address;
    choice.loadsAdapter = !m_table.hasAdapter(row, request.key, request.adapter);
    choice.expectedDelay = expectedDelay(row, request, now);
    choice.load = m_table.estimatedLoad(row, now);
    choice.prefixBlocks = static_cast<int>(m_prefixes.matchLength(row.number, request.prefix));
    choice.candidateCount = static_cast<int>(m_candidates.size());
    choice.probe = row.state != UpstreamState::Reachable;
    return choice;
}

} // namespace burdock
