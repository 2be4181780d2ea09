// Chooses the replica for a request: the one with the lowest cost, which is mainly the expected
// time to the first byte.
//
// Index
//   ReplicaChoice, NoReplica   the two kinds of result
//   ConnectionView             tells to which replicas a connection is open
//   ChooserSettings
//   ServiceProfile             averages over the requests of a service
//   ReplicaChooser             the choice
//
// Expected time to the first byte:
// - Model replicas first read the prompts assigned earlier, then the request's own prompt tokens as
//   far as they are not in the replica's KV cache; each request in the batch adds to the step time.
// - For plain replicas it is the smoothed time to the first byte of the service, increased by the
//   replica's load and most of all by requests beyond its slots.
//
// A step of a model replica reads all prompts that arrived since the previous step, completely, and
// all running streams pause for that time. The chooser therefore limits the prompts that a replica
// is assigned within the longest pause allowed for its streams to what it can read in less than
// that pause. Nodes announce to each other the prompts that they send, so that the limit holds for
// all nodes together.
//
// Two further problems are covered:
// - Many nodes that see the same stale load reports would all choose the same replica (herding). A
//   random factor on the cost makes their choices differ.
// - Some replicas are slow or fail although they report themselves healthy. Observed slowness and
//   failures multiply their cost.
#pragma once

#include "base/random.h"
#include "serving/prefixcacheestimate.h"
#include "serving/replicatable.h"
#include "serving/servingconfig.h"

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

struct ReplicaChoice
{
    std::string id;                // id of the replica
    std::string address;           // "IP:PORT" at which it listens
    std::uint64_t generation = 0;  // ReplicaRow::generation at the time of the choice
    std::uint64_t startedMs = 0;   // start of its process, Unix ms
    int freshTokens = 0;           // prompt tokens that the replica has to read
    double load = 0.0;             // estimated number of requests at the replica
    int comparedReplicas = 0;      // number of usable replicas that were compared
    Duration expectedFirstByte {}; // expected time to the first byte of the response
    double slowness = 1.0;         // that the expectation includes, see ReplicaTable::slowness()
};

enum class NoReplica {
    NotResident, // no replica of the service holds the model or adapter
    Unusable,    // all that hold it are leaving, paused, avoided after failures or excluded
    Full,        // all usable replicas that hold it are at capacity
    Limited,     // this node's share of the limits that the usable ones stated is spent
};

using ChooserResult = std::variant<ReplicaChoice, NoReplica>;

/// What is known of the connections to replicas.
class ConnectionView
{
public:
    virtual ~ConnectionView() = default;

    /// @param address of a replica, "IP:PORT"
    /// @return whether a request to it needs no new connection
    virtual bool hasIdleConnection(const std::string &address) const = 0;
};

struct ChooserSettings
{
    std::string zone; // availability zone of this node
    // Cost of a replica in another availability zone, for the latency and the traffic.
    Duration otherZoneCost = std::chrono::milliseconds(12);
    // Cost of a replica to which no connection is idle, where replicas state their work time.
    Duration newConnectionCost = std::chrono::milliseconds(1);
    // Costs that differ by at most this share are nearly equal: the jitter decides between them
    // anyway, so that an idle connection may.
    double equalCostShare = 0.15;
    Duration stepTime = std::chrono::milliseconds(10); // one step of a batch
    // Added to the step time by each request in the batch.
    Duration stepTimePerRequest = std::chrono::microseconds(300);
    double failureWeight = 5.0; // a replica that always fails costs 1 + failureWeight times as much
    double costJitter = 0.15;   // maximum random share added to a cost, against herding
    double maxKvShare = 0.85;   // share of a replica's KV cache that requests may fill
    double maxPlainLoadPerSlot = 1.25; // maximum requests per slot at a plain replica
    int defaultSlots = 16;             // assumed for replicas that do not announce their slots

    // A step reads all prompts that arrived since the previous one, completely, and an event of a
    // stream takes several steps. A stream therefore pauses for as long as it takes to read all
    // prompts that arrive during one event.

    // Part of the longest allowed pause that is kept free for errors of the estimates.
    Duration pauseMargin = std::chrono::milliseconds(60);
    // Lower bound of the prefill limit, which applies where shorter pauses are required.
    Duration minPrefillLimit = std::chrono::milliseconds(60);
    // Cost per running request of a prompt whose prefill exceeds the limit, since all running
    // streams then pause for too long.
    Duration disturbedStreamCost = std::chrono::milliseconds(60);
    // Prefill work up to about one step counts as none.
    Duration negligiblePrefill = std::chrono::milliseconds(12);
};

struct ServiceProfile
{
    double meanTokens = 2'000.0;     // smoothed prompt and output tokens per request
    double serviceTimeUs = 40'000.0; // smoothed time to the first byte; plain services only
};

class ReplicaChooser
{
public:
    /// @param table must outlive the chooser
    /// @param seed of the random cost jitter
    ReplicaChooser(const ReplicaTable &table, ChooserSettings settings, std::uint64_t seed);

    /// Sets the limits of a service's model replicas from the configuration.
    /// @param maxPause longest allowed pause between events of the service's streams; zero for no
    ///        limit, which leaves the prefill limit unchanged
    void setEngineLimits(const std::string &service, const EngineLimits &engine,
                         std::chrono::milliseconds maxPause);

    /// Lets the choice prefer replicas to which a connection is idle.
    /// @param connections must outlive the chooser
    void setConnections(const ConnectionView &connections) { m_connections = &connections; }

    /// Chooses a replica. The caller reports with onSent() if it uses the choice.
    /// @param chain prefix hashes of the request's prompt
    /// @param excluded ids of replicas that must not be chosen
    ChooserResult choose(const ServingRequest &request, const PromptChain &chain,
                         const std::vector<std::string> &excluded, Instant now);

    /// Records a send, so that later prompts with the same prefix are sent to the same replica.
    void onSent(const ServingRequest &request, const PromptChain &chain,
                const ReplicaChoice &choice);

    /// Records the observed time to the first byte of a response.
    /// @param model whether it came from a model replica; such times are ignored
    void onFirstByte(const std::string &service, bool model, Duration time);

    /// Removes what is recorded for a replica that was removed or restarted.
    void onReplicaRemoved(std::uint64_t generation) { m_prefixCaches.onReplicaRemoved(generation); }

    /// @return whether the prompts recently assigned to the replica make its streams pause for
    /// longer than allowed
    bool isPrefillSaturated(const ReplicaRow &row, Instant now);

private:
    struct Candidate
    {
        const ReplicaRow *row = nullptr;
        double costBeforeJitter = 0.0; // in microseconds, with all factors and surcharges
        double cost = 0.0;             // the same with jitter
        double firstByteUs = 0.0;      // expected time to the first byte
        int freshTokens = 0;           // prompt tokens that the replica has to read
        bool wantsNews = false;        // see RequestLimits::wantsNews()
    };

    Candidate evaluate(const ReplicaRow &row, const ServingRequest &request,
                       const PromptChain &chain, bool preferred, Instant now);
    bool hasCapacity(const Candidate &candidate, const ServingRequest &request, Instant now);
    static bool isBetter(const Candidate &left, const Candidate &right);
    Candidate preferConnected(const Candidate &best, const std::vector<Candidate> &others) const;
    bool needsConnection(const ReplicaRow &row) const;
    double maxRequests(const ReplicaRow &row, const ServingRequest &request);
    int slots(const ReplicaRow &row) const;

    const ReplicaTable &m_table;
    ChooserSettings m_settings;
    const ConnectionView *m_connections = nullptr; // null: nothing is known of connections
    Random m_random;
    PrefixCacheEstimate m_prefixCaches;
    std::map<std::string, ServiceProfile> m_profiles; // by service
    struct EngineBounds
    {
        int kvTokens = 0; // tokens that fit into a replica's KV cache; 0: unknown
        // Longest time that one event may take: the prefill limit and the steps of the event. The
        // defaults are for two tokens per event.
        Duration prefillWindow = std::chrono::milliseconds(336);
        // Maximum read time of the prompts assigned within that window.
        Duration prefillLimit = std::chrono::milliseconds(316);
    };
    std::map<std::string, EngineBounds> m_engines; // by service
};

} // namespace burdock
