// The replicas that a node may send requests to: what they hold, how loaded and how sound they are.
//
// Index
//   ModelCopy, ReplicaInfo     what a replica announces of itself
//   LoadReading                load as a replica's answer states it
//   ReplicaRow                 what the table keeps
//   ReplicaTableSettings
//   ReplicaTable               rows by id, with an index by service
//
// Announcements come from the platform, load readings from answers. Between two readings the table
// counts what this node sends and sees finished:
//
//   table.onAnnounced(info, now);
//   table.onSent(id, freshTokens, now);              // load + 1
//   table.onLoad(id, { 12, 0, 64 }, now);            // read from the head of an answer
//   table.onFinished(id, outcome, now);
//
// A replica that vanishes from the list while the list's source is disturbed is kept for a grace
// period: it may only have failed to renew its entry.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdock {

// ---- What arrives -------------------------------------------------------------------------------

struct ModelCopy
{
    std::string model;                 // name of the model
    std::vector<std::string> adapters; // adapters loaded onto it
};

struct ReplicaInfo
{
    std::string id;              // names the process, as far as the platform knows
    std::string service;         // the service it belongs to
    std::string address;         // "IP:PORT"
    std::string zone;            // its availability zone
    std::uint64_t startedMs = 0; // Unix milliseconds; tells a restart under the same id
    int slots = 0;               // requests it serves at once; 0: not said
    bool draining = false;       // it is about to leave
    std::chrono::milliseconds coldLeft { 0 }; // it stays slow for this long
    std::vector<ModelCopy> models;            // resident; empty for plain services
    std::vector<std::string> inHostMemory;    // models it can load fast
    std::vector<std::string> onDisk;          // models it can load without the weight store
};

struct LoadReading
{
    int running = 0; // requests being served
    int waiting = 0; // requests queued at the replica
    int slots = 0;   // requests it serves at once; 0: not said
};

enum class ReplicaOutcome {
    Served,    // whole answer, whatever its status below 500
    Failed,    // it answered with an error of its own, or broke off
    Rejected,  // it said that it has not run the request
    Cancelled, // ended from this side; says nothing about the replica
};

// ---- Rows ---------------------------------------------------------------------------------------

/// A prompt that some node gave a replica.
struct PromptWork
{
    Instant at;       // when it was told
    Duration work {}; // time to read it, by estimate
};

struct ReplicaRow
{
    ReplicaInfo info;                // as last announced
    std::uint64_t generation = 0;    // never reused; a new one for each start of the replica
    int inFlight = 0;                // sent from here and not finished
    Instant prefillUntil;            // prompts sent by any node are read by then, by estimate
    std::vector<PromptWork> prompts; // those of the last moments, oldest first
    LoadReading load;                // newest reading
    Instant loadReadAt;              // when it came
    int changeSinceLoad = 0;         // own sends less own finishes since that reading
    double failureShare = 0.0;       // smoothed share of failed requests
    double slowness = 1.0;           // observed time to the first byte against the expected one
    int connectFailures = 0;         // in a row
    Instant avoidUntil;              // gets nothing until then
    Instant goneAt;                  // missing from the list: dropped then; zero when listed
    Instant coldUntil;               // slow until then
    std::unordered_map<std::string, Instant>
            absent; // "model/adapter" it denied holding, until then
    std::unordered_map<std::string, Instant> coming; // models being loaded, expected then
    std::unordered_map<std::string, Instant> added; // "model/adapter" loaded after the announcement
};

struct ReplicaTableSettings
{
    Duration missingGrace = std::chrono::milliseconds(1'800); // below the 2 s that entries take to
                                                              // return after the source's outage
    Duration rejectedAvoid = std::chrono::milliseconds(150);  // after "full"; about a service time
    Duration connectAvoid = std::chrono::milliseconds(300);   // doubles with each failure in a row
    Duration connectAvoidMax = std::chrono::milliseconds(2'400); // so a recovered replica is found
    Duration loadUsable = std::chrono::milliseconds(1'000); // older readings decay to own counts
    Duration deniedFor = std::chrono::milliseconds(700);    // a copy denied by its replica
    Duration comingLate = std::chrono::seconds(4); // beyond the expected time a load has failed
    Duration leavingFor =
            std::chrono::seconds(15); // a copy ordered out; its last runs take their time
    Duration addedFor = std::chrono::milliseconds(3'000); // two heartbeats: the list shows it then
    double smoothing = 0.15;                              // weight of the newest outcome in shares
    double prefillTokensPerMs = 18.0; // start value, of the engines served today; slowness corrects
    Duration promptsKept = std::chrono::milliseconds(1'000); // longer than streams may pause
    Duration stepPause = std::chrono::milliseconds(40);      // four steps, more than an event takes
    double pairsMsPerMillion = 1.4; // attention over a long prompt grows with its square
};

class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableSettings settings = {});

    // ---- Announcements ----

    /// Takes what a replica announced, or what the whole list says of it.
    void onAnnounced(const ReplicaInfo &info, Instant now);

    /// A replica is not listed any more.
    /// @param sourceDisturbed whether the list's source was unreachable a short time ago
    void onMissing(const std::string &id, bool sourceDisturbed, Instant now);

    /// The list's source cannot be reached: a replica in its grace period stays until the source is
    /// back and had time to list it again.
    void holdMissing(Instant now);

    /// A copy was loaded that the next announcement will show.
    void onCopyAdded(const std::string &id, const std::string &copy, Instant usableAt);

    /// A model is being loaded.
    void onCopyComing(const std::string &id, const std::string &copy, Instant expectedAt);

    /// @return when a replica of the service is expected to hold the copy; Instant::max() if none
    /// is
    Instant copyExpectedAt(const std::string &service, const std::string &copy, Instant now) const;

    /// A copy was ordered out; it gets nothing new, though it is listed until its last run ends.
    void onCopyLeaving(const std::string &id, const std::string &copy, Instant now);

    /// A replica denied that it holds a copy.
    void onCopyDenied(const std::string &id, const std::string &copy, Instant now);

    /// Drops replicas whose grace period is over.
    /// @return the ids and generations of those
    std::vector<std::pair<std::string, std::uint64_t>> tick(Instant now);

    // ---- Requests ----

    /// @param freshTokens prompt tokens that the replica has to read; 0 for plain services
    void onSent(const std::string &id, int freshTokens, Instant now);

    /// A replica got a prompt to read, from this node or another.
    void onPrompt(const std::string &id, int freshTokens, Instant now);

    /// A prompt that was announced will not be sent.
    void onPromptWithdrawn(const std::string &id, int freshTokens, Instant now);

    void onLoad(const std::string &id, const LoadReading &reading, Instant now);

    /// The first byte of an answer came.
    /// @param ratio time it took against the time expected
    void onFirstByte(const std::string &id, std::uint64_t generation, double ratio);

    /// A request ended.
    void onFinished(const std::string &id, std::uint64_t generation, ReplicaOutcome outcome,
                    Instant now);

    /// No connection could be opened.
    void onConnectFailed(const std::string &id, Instant now);

    // ---- Reading ----

    /// @return the row of that id, or null
    const ReplicaRow *find(const std::string &id) const;

    /// @return the ids of a service's replicas, those that leave included
    const std::vector<std::string> &ofService(const std::string &service) const;

    /// @return whether new requests may go there
    bool usable(const ReplicaRow &row, Instant now) const;

    /// @return whether the replica holds the model, and the adapter if one is named
    bool holds(const ReplicaRow &row, const std::string &model, const std::string &adapter,
               Instant now) const;

    /// @return requests at the replica, from the newest reading and own counts
    double estimatedLoad(const ReplicaRow &row, Instant now) const;

    /// @return time that a replica takes to read prompt tokens
    Duration prefillTime(const ReplicaRow &row, int freshTokens) const;

    /// @return time until the prompts that the replica has are read
    Duration prefillAhead(const ReplicaRow &row, Instant now) const;

    /// @return time for prompts that any node gave the replica within a span before now; zero when
    /// all were read some steps ago
    Duration recentPrefill(const ReplicaRow &row, Duration span, Instant now) const;

    const std::map<std::string, ReplicaRow> &rows() const { return m_rows; }

private:
    ReplicaRow *findRow(const std::string &id);
    void index(const ReplicaRow &row);
    void unindex(const ReplicaRow &row);

    ReplicaTableSettings m_settings;
    std::map<std::string, ReplicaRow> m_rows;
    std::unordered_map<std::string, std::vector<std::string>> m_byService;
    std::uint64_t m_nextGeneration = 1;
};

/// @return the text that names a copy: "model" or "model/adapter"
std::string copyName(const std::string &model, const std::string &adapter);

/// @param copy "model" or "model/adapter"
/// @return whether it is among the copies
bool holdsCopy(const std::vector<ModelCopy> &copies, const std::string &copy);

} // namespace burdock
