// Chooses the upstream that serves a request.
//
// Index
//   RoutingRequest                     properties of a request that routing depends on
//   RoutingChoice, NoRoute             the result
//   RoutingPolicy                      interface of all routing policies
//   CostRouter                         the policy that entry nodes use
//   routingbaselines.h                 simpler policies for comparison in tests and experiments
//
// CostRouter draws a few of the upstreams that hold the request's key at random, adds those that
// are assumed to have the beginning of the prompt in their prefix cache, estimates the delay to
// the first token at each, and chooses the smallest. Comparing a random sample instead of all
// upstreams prevents herding: all entry nodes see the same stale load reports and would otherwise
// send their requests to the same least loaded upstream at the same time.
//
//   const RoutingResult result = router.choose(request, now);
//   if (const auto *choice = std::get_if<RoutingChoice>(&result))
//       table.onSent(choice->upstream, choice->loadsAdapter, now);
#pragma once

#include "base/random.h"
#include "decide/prefixindex.h"
#include "decide/servicecatalog.h"
#include "decide/upstreamtable.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Request and result -------------------------------------------------------------------------

struct RoutingRequest
{
    std::uint64_t id = 0;                           // unique on this node
    RequestClass requestClass = RequestClass::Fast; // which slots it can take; if it may probe
    std::string customer;                           // customer that sent the request
    std::string key;                                // serving key, or group of a plain service
    std::string adapter;                            // empty for the model without an adapter
    std::vector<std::uint64_t> prefix;              // prefixChain() of the prompt; may be empty
    int promptTokens = 0;                           // length of the prompt in tokens
    std::vector<std::string> excluded;              // names of upstreams that must not get it
    bool preferIdleUpstream = false;  // it may crash its upstream: choose the least loaded
    bool mayUseReservedSlots = false; // may take slots reserved for other classes
};

struct RoutingChoice
{
    std::string upstream;      // name of the chosen upstream
    std::string address;       // "IP:port"
    bool loadsAdapter = false; // the upstream has to load the adapter first
    Duration expectedDelay {}; // estimated delay to the first token
    int load = 0;              // estimated number of requests at the upstream
    int prefixBlocks = 0;      // leading blocks of the prompt assumed to be cached there
    int candidateCount = 0;    // number of upstreams that were compared
    bool probe = false;        // the upstream was unreachable, and this request is its probe
};

enum class NoRoute {
    NoUpstream, // no upstream that may receive the request holds its key
    NoFreeSlot, // all upstreams that may receive the request are full
};

using RoutingResult = std::variant<RoutingChoice, NoRoute>;

/// @return the inputs and the reason of a routing decision as "name=value" fields for the log
std::string describeRouting(const RoutingRequest &request, const RoutingResult &result);

// ---- Interface ----------------------------------------------------------------------------------

class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    virtual ~RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;

    /// Chooses the upstream of a request. Does not change the tables: after sending the request,
    /// call UpstreamTable::onSent().
    /// @return an upstream that may receive the request (see mayReceive()) and holds its key, or
    /// the reason why there is none
    virtual RoutingResult choose(const RoutingRequest &request, Instant now) = 0;
};

// ---- Cost-based routing -------------------------------------------------------------------------

struct RouterSettings
{
    std::string zone;                                         // availability zone of this node
    Duration zoneRoundTrip = std::chrono::microseconds(3000); // round trip to another zone

    // An adapter load takes adapterLoadTime while at most adapterLoadsInFlight loads are in flight
    // in the fleet, and proportionally longer with more. A router knows only the loads of its own
    // node, so it assumes that each of entryNodes nodes has as many in flight.
    Duration adapterLoadTime = std::chrono::milliseconds(13);
    int adapterLoadsInFlight = 24;
    int entryNodes = 8;

    double prefillTokensPerSecond = 16'000; // prefill rate of one upstream
    int blockTokens = 64;                   // tokens per block of a prompt's hash chain

    // Delay that each request at an upstream adds, since a larger batch slows each step.
    Duration stepPerRequest = std::chrono::microseconds(800);

    int meanPromptTokens = 600; // assumed prompt length of the requests queued at an upstream
    int draws = 8;              // upstreams drawn at random for one choice
    int prefixCandidates = 3;   // upstreams added because their prefix cache is assumed to match
    double mayWaitShare = 0.8;  // share of an upstream's slots that may-wait requests can take
};

class CostRouter : public RoutingPolicy
{
public:
    /// @param table, prefixes must outlive the router
    /// @param seed seed of the random draws; must differ between nodes
    CostRouter(const UpstreamTable &table, const PrefixIndex &prefixes, RouterSettings settings,
               std::uint64_t seed);

    RoutingResult choose(const RoutingRequest &request, Instant now) override;

    /// @return estimated delay to the first token if the request were sent to that upstream now
    Duration expectedDelay(const UpstreamRow &row, const RoutingRequest &request,
                           Instant now) const;

private:
    void collectCandidates(const RoutingRequest &request, Instant now);
    void addCandidate(const UpstreamRow *row, const RoutingRequest &request, Instant now);
    bool hasFreeSlot(const UpstreamRow &row, const RoutingRequest &request, Instant now) const;
    Duration adapterDelay(const UpstreamRow &row, const RoutingRequest &request) const;
    RoutingChoice makeChoice(const UpstreamRow &row, const RoutingRequest &request,
                             Instant now) const;

    const UpstreamTable &m_table;
    const PrefixIndex &m_prefixes;
    RouterSettings m_settings;
    Random m_random;
    std::vector<const UpstreamRow *> m_candidates; // buffer of choose(), kept to avoid allocations
};

/// @return whether a request may be sent to an upstream, regardless of the upstream's load and of
/// the keys it holds: it is selectable, not excluded, and no probe if the request is at-most-once
bool mayReceive(const UpstreamTable &table, const UpstreamRow &row, const RoutingRequest &request,
                Instant now);

} // namespace burdock
