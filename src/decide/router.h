// Chooses the upstream of a request.
//
// Index
//   RoutingRequest                     what a request asks for
//   RoutingChoice, NoRoute             the answer
//   RoutingPolicy                      the interface of all policies
//   CostRouter                         the product's policy
//   routingbaselines.h                 the policies it is measured against
//
// CostRouter draws a few upstreams that hold the model, adds those believed to hold the prompt's
// prefix or the adapter, works out the delay to the first token at each, and takes the least. To
// draw a few, in place of looking at all, keeps the entry nodes apart: each of them sees the same
// stale load reports, and would otherwise send everything to the same minimum at once.
//
//   Result: std::variant<RoutingChoice, NoRoute> answer = router.choose(request, now);
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

// ---- Question and answer ------------------------------------------------------------------------

struct RoutingRequest
{
    std::uint64_t id = 0;                           // unique on this node
    RequestClass requestClass = RequestClass::Fast; // how urgent, and whether it may be repeated
    std::string customer;                           // who sent it
    std::string key;                                // a serving key, or a group of plain services
    std::string adapter;                            // empty when the bare model is asked for
    std::vector<std::uint64_t> prefix;              // hash chain of the prompt; may be empty
    int promptTokens = 0;                           // length of the prompt
    std::vector<std::string> excluded;              // upstreams it must not go to again
    bool leastAtStake = false;                      // it may crash its upstream: choose an idle one
    bool useReserve = false; // it may take the slots that are kept for fast requests
};

struct RoutingChoice
{
    std::string upstream;      // name of the upstream
    std::string address;       // where it listens
    bool loadsAdapter = false; // it has to load the adapter first
    Duration expectedDelay {}; // to the first token
    int load = 0;              // estimated requests there
    int prefixBlocks = 0;      // leading blocks it is believed to hold
    int weighed = 0;           // upstreams that were compared
    bool probe = false;        // it failed before, and this request shows whether it is back
};

enum class NoRoute {
    NoUpstream, // no reachable upstream holds the model
    NoRoom,     // all that could serve it are full
};

using RoutingAnswer = std::variant<RoutingChoice, NoRoute>;

/// @return the inputs and the reason of a decision, as "name=value" fields for the log
std::string describeRouting(const RoutingRequest &request, const RoutingAnswer &answer);

// ---- Interface ----------------------------------------------------------------------------------

class RoutingPolicy
{
public:
    RoutingPolicy() = default;
    virtual ~RoutingPolicy() = default;
    RoutingPolicy(const RoutingPolicy &) = delete;
    RoutingPolicy &operator=(const RoutingPolicy &) = delete;

    /// Chooses the upstream of a request. It changes nothing in the tables: the caller reports the
    /// send with UpstreamTable::onSent().
    /// @return a choice that is selectable, holds the key and is not excluded; or why there is none
    virtual RoutingAnswer choose(const RoutingRequest &request, Instant now) = 0;
};

// ---- The product's policy -----------------------------------------------------------------------

struct RouterSettings
{
    std::string zone;                                         // availability zone of this node
    Duration zoneDistance = std::chrono::microseconds(3000);  // there and back to another one
    Duration adapterLoad = std::chrono::milliseconds(13);     // while few are in flight
    int adapterLoadsInFlight = 24;                            // beyond it they take longer
    int entryNodes = 8;                                       // nodes that share those loads
    double prefillTokensPerSecond = 16'000;                   // of an upstream
    int blockTokens = 64;                                     // tokens in a block of the prefix
    Duration stepPerRequest = std::chrono::microseconds(800); // each request slows the others by it
    int meanPromptTokens = 600;                               // of the requests queued upstream
    int draws = 8;                                            // upstreams drawn at random
    int prefixCandidates = 3;                                 // upstreams added for their cache
    double mayWaitShare = 0.8; // of an upstream's slots that requests that may wait can take
};

class CostRouter : public RoutingPolicy
{
public:
    CostRouter(const UpstreamTable &table, const PrefixIndex &prefixes, RouterSettings settings,
               std::uint64_t seed);

    RoutingAnswer choose(const RoutingRequest &request, Instant now) override;

    /// @return the delay to the first token that a request would meet at an upstream
    Duration expectedDelay(const UpstreamRow &row, const RoutingRequest &request,
                           Instant now) const;

private:
    void draw(const RoutingRequest &request, Instant now);
    void addCandidate(const UpstreamRow *row, const RoutingRequest &request, Instant now);
    bool hasRoom(const UpstreamRow &row, const RoutingRequest &request, Instant now) const;
    Duration adapterDelay(const UpstreamRow &row, const RoutingRequest &request) const;
    RoutingChoice makeChoice(const UpstreamRow &row, const RoutingRequest &request,
                             Instant now) const;

    const UpstreamTable &m_table;
    const PrefixIndex &m_prefixes;
    RouterSettings m_settings;
    Random m_random;
    std::vector<const UpstreamRow *> m_candidates; // scratch of choose()
};

/// @return whether a request may be sent to an upstream at all, apart from its load
bool mayReceive(const UpstreamTable &table, const UpstreamRow &row, const RoutingRequest &request,
                Instant now);

} // namespace burdock
