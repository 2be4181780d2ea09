// Chooses the replica of a request: the one with the least expected time to the first byte.
//
// Index
//   ReplicaChoice, NoReplica   the answer
//   ChooserSettings
//   ServiceProfile             what was learned about a service's requests
//   ReplicaChooser             the policy
//
// For model replicas the time is made of prompt tokens ahead of the request, its own tokens that
// the replica does not keep, and the batch; for plain ones of the requests beyond the replica's
// slots. A replica gets only so many prompts within the longest pause of its running streams that
// they are read in less time; nodes tell each other of the prompts that they send. It answers two
// more loads: uneven ones, where many nodes see the same stale readings (a random factor keeps them
// apart), and replicas that are slow or fail while they call themselves healthy (observed slowness
// and failures multiply the cost).
#pragma once

#include "base/random.h"
#include "serving/promptmemory.h"
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
    std::string id;                // the replica
    std::string address;           // where it listens
    std::uint64_t generation = 0;  // of its row
    int freshTokens = 0;           // prompt tokens that it has to read
    double load = 0.0;             // requests believed to be there
    int weighed = 0;               // replicas compared
    Duration expectedFirstByte {}; // expected time to the first byte
};

enum class NoReplica {
    NotHeld,  // no replica of the service holds the model or adapter
    Unusable, // those that hold it leave, failed or were tried already
    Full,     // those that hold it have no room
};

using ChooserAnswer = std::variant<ReplicaChoice, NoReplica>;

struct ChooserSettings
{
    std::string zone;                                         // availability zone of this node
    Duration zoneDistance = std::chrono::milliseconds(12);    // cost of leaving it: way and traffic
    Duration stepTime = std::chrono::milliseconds(10);        // one step of a batch
    Duration stepPerRequest = std::chrono::microseconds(300); // each request slows the others
    double failureWeight = 5.0;   // a replica that fails all costs this much more
    double spread = 0.15;         // random share added to costs
    double kvShare = 0.85;        // of a replica's KV cache that requests may fill
    double plainOverSlots = 1.25; // requests at a plain replica, against its slots
    int defaultSlots = 16;        // for replicas that do not say
    // A step reads all prompts that came since the last one, whole, and an event waits for several
    // steps: a stream pauses for as long as all prompts take that come in the time of an event.
    Duration pauseReserve = std::chrono::milliseconds(60);    // of the longest pause: errors
    Duration leastPrefill = std::chrono::milliseconds(60);    // also where pauses are shorter
    Duration disturbedStream = std::chrono::milliseconds(60); // cost of a prompt that is longer
                                                              // than pauses may be, for each
                                                              // request that runs there
    Duration prefillIdle = std::chrono::milliseconds(12); // less ahead is nothing: about one step
};

struct ServiceProfile
{
    double meanTokens = 2'000.0;     // prompt and output of a request, smoothed
    double serviceTimeUs = 40'000.0; // plain: time to the first byte, smoothed
};

class ReplicaChooser
{
public:
    /// @param table must outlive the chooser
    /// @param seed of the random spread
    ReplicaChooser(const ReplicaTable &table, ChooserSettings settings, std::uint64_t seed);

    /// Takes the limits of a service's replicas, as configured.
    /// @param longestPause between events of the service's streams; zero when it does not matter
    void setEngine(const std::string &service, const EngineLimits &engine,
                   std::chrono::milliseconds longestPause);

    /// @param request the request
    /// @param chain of its prompt
    /// @param excluded replicas it must not go to
    ChooserAnswer choose(const ServingRequest &request, const PromptChain &chain,
                         const std::vector<std::string> &excluded, Instant now);

    /// Notes a send, so that later prompts with the same beginning find the replica.
    void onSent(const ServingRequest &request, const PromptChain &chain,
                const ReplicaChoice &choice);

    /// Notes the observed time to the first byte of an answer.
    void onFirstByte(const std::string &service, bool model, Duration time);

    /// Forgets a replica's process.
    void onGone(std::uint64_t generation) { m_prompts.onGone(generation); }

    /// @return whether the prompts given to a replica lately make its streams pause for too long
    bool isCrowded(const ReplicaRow &row, Instant now);

private:
    struct Candidate
    {
        const ReplicaRow *row = nullptr;
        double cost = 0.0;
        double firstByteUs = 0.0;
        int freshTokens = 0;
    };

    Candidate weigh(const ReplicaRow &row, const ServingRequest &request, const PromptChain &chain,
                    bool home, Instant now);
    bool hasRoom(const Candidate &candidate, const ServingRequest &request, Instant now);
    double mostRequests(const ReplicaRow &row, const ServingRequest &request);
    int slots(const ReplicaRow &row) const;

    const ReplicaTable &m_table;
    ChooserSettings m_settings;
    Random m_random;
    PromptMemory m_prompts;
    std::map<std::string, ServiceProfile> m_profiles;
    struct EngineBounds
    {
        int kvTokens = 0;
        Duration eventTime = std::chrono::milliseconds(336);    // of an event that bears the limit
        Duration prefillLimit = std::chrono::milliseconds(316); // prompts in that time, with two
                                                                // tokens an event
    };
    std::map<std::string, EngineBounds> m_engines; // by service
};

} // namespace burdock
