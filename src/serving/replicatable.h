// The replicas that a node can send requests to, with their models, load and health.
//
// Index
//   ModelCopy, ReplicaInfo     what a replica announces about itself
//   ReplicaLoadReport          load that a replica states in the head of a response
//   ReplicaOutcome             how a request ended, as far as it concerns the replica
//   AssignedPrompt, ReplicaRow one replica in the table
//   ReplicaTableSettings
//   ReplicaTable               rows by replica id, with an index by service
//
// Announcements come from the platform, load reports from responses. Between two load reports the
// table counts the requests that this node sends and finishes:
//
//   table.onAnnounced(info, now);
//   table.onSent(id, freshTokens, now);              // load + 1
//   table.onLoadReport(id, { 12, 0, 64 }, now);      // from the head of a response
//   table.onFinished(id, generation, outcome, now);  // load - 1
//
// A replica that disappears from the platform's list is kept for a grace period if it may only have
// failed to renew its entry, because the source of the list was away. The period begins when the
// source was back, not when this node learns that the replica is missing.
//
// A replica may ask for a pause, or say in a response or in its entry that it is about to
// terminate. All three are kept for its process, also if the list does not have it, shows an older
// state of it or has had it anew since the request was sent. It may also state a limit on the
// requests of all nodes together, see serving/requestlimits.h.
//
// A copy is a model that is loaded at a replica, or an adapter on top of it. Texts that name a copy
// have the form "model" or "model/adapter", see copyName(). Functions that take a replica id ignore
// ids that are not in the table.
#pragma once

#include "base/instant.h"
#include "serving/requestlimits.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdock {

// ---- Input --------------------------------------------------------------------------------------

struct ModelCopy
{
    std::string model;                 // name of the model
    std::vector<std::string> adapters; // names of the adapters loaded on top of it

    friend bool operator==(const ModelCopy &, const ModelCopy &) = default;
};

struct ReplicaInfo
{
    std::string id;              // under which the platform lists the process
    std::string service;         // name of the service that it belongs to
    std::string address;         // "IP:PORT"
    std::string zone;            // its availability zone
    std::uint64_t startedMs = 0; // start time in Unix ms; shows a restart; 0: not announced
    int slots = 0;               // requests that it serves at once; 0: not announced
    bool draining = false;       // whether it is about to terminate
    std::chrono::milliseconds coldRemaining { 0 }; // time until it reaches its normal speed
    std::vector<ModelCopy> models;                 // resident models; empty for plain services
    std::vector<std::string> inHostMemory;         // models in its host memory, which load fast
    std::vector<std::string> onDisk; // models on its disk, which load without the weight store
};

struct ReplicaLoadReport
{
    int running = 0; // requests that the replica is serving
    int waiting = 0; // requests queued at the replica
    int slots = 0;   // requests that it serves at once; 0: not reported
    // How long work takes on the replica's VM, which it shares with others, at this moment: 100 is
    // usual; 0: not reported.
    int workTimePercent = 0;
};

enum class ReplicaOutcome {
    Served,    // complete response with a status below 500
    Failed,    // error response of the replica's own, or a broken response
    Rejected,  // the replica confirmed that it has not run the request
    Cancelled, // cancelled by this node; not counted for or against the replica
};

// ---- Rows ---------------------------------------------------------------------------------------

/// A prompt that this node or a peer sends to a replica.
struct AssignedPrompt
{
    Instant assignedAt;   // when this node sent it or received the peer's announcement
    Duration readTime {}; // estimated time that the replica needs to read it
    int freshTokens = 0;  // tokens of it that the replica has to read
};

struct ReplicaRow
{
    ReplicaInfo info;                    // latest announcement
    std::uint64_t generation = 0;        // unique; changes with each start of the replica
    int inFlight = 0;                    // requests that this node sent and that have not finished
    Instant prefillDoneAt;               // estimated time when the prompts of all nodes are read
    std::vector<AssignedPrompt> prompts; // assigned within promptHistory, oldest first
    ReplicaLoadReport load;              // latest load report
    Instant loadReceivedAt;              // when it arrived; zero: none has arrived
    // Requests that this node sent since the load report, less those that finished since then.
    int changeSinceReport = 0;
    double failureRate = 0.0; // smoothed share of failed requests
    double slowness = 1.0;    // smoothed ratio of observed to expected time to the first byte
    Instant firstByteAt;      // of the latest response in it
    double workTime = 1.0;    // smoothed ratio of work time to the usual one, as reported
    // Smoothed ratio of the observed time to the first byte to the one that is usual for replicas,
    // whatever they report.
    double meanWorkRatio = 1.0;
    bool statesWorkTime = false; // whether the replica reports it
    Instant workTimeAt;          // of the latest report of it
    int connectFailures = 0;     // consecutive failed connections
    Instant avoidUntil;          // no requests are sent until then
    Instant pausedUntil;         // the replica asked for no requests until then
    Instant drainedAt; // it said that it terminates: no requests from then on; zero: it stays
    Instant removeAt;  // unlisted: no requests from the end of its grace period on; zero: listed
    Instant coldUntil; // below its normal speed until then

    // Copies that get no requests until the given time, because the replica denied holding them or
    // was ordered to unload them.
    std::unordered_map<std::string, Instant> unavailableCopies;
    // Copies being loaded, with the time at which they are expected to be usable.
    std::unordered_map<std::string, Instant> loadingCopies;
    // Copies loaded since the latest announcement, with the time from which they are usable.
    std::unordered_map<std::string, Instant> addedCopies;
};

struct ReplicaTableSettings
{
    // Grace period for unlisted replicas, from the return of the source; below the 2 s that entries
    // take to be listed again after an outage.
    Duration missingGrace = std::chrono::milliseconds(1'800);
    // Pause after a replica rejected a request because it is full; about the service time of a
    // request.
    Duration avoidAfterRejection = std::chrono::milliseconds(150);
    // Pause after a failed connection, doubled with each consecutive one. The maximum ensures that
    // a recovered replica is used again soon.
    Duration avoidAfterConnectFailure = std::chrono::milliseconds(300);
    Duration maxAvoidAfterConnectFailure = std::chrono::milliseconds(2'400);
    // Time constant by which the weight of a load report decays in favour of this node's own
    // counts.
    Duration loadReportDecay = std::chrono::milliseconds(1'000);
    // Time for which a copy gets no requests after its replica denied holding it.
    Duration deniedCopyTime = std::chrono::milliseconds(700);
    // The loading of a copy counts as failed this long after its expected completion.
    Duration maxCopyLoadDelay = std::chrono::seconds(4);
    // Time for which a copy that was ordered to be unloaded gets no requests. It stays listed until
    // its last requests have finished.
    Duration unloadingCopyTime = std::chrono::seconds(15);
    // Time for which a newly loaded copy counts as held without being listed: two heartbeats, after
    // which the list shows it.
    Duration addedCopyTime = std::chrono::milliseconds(3'000);
    // A replica that had ended is not used for this long when it is listed again after its source
    // came back from an older copy: unless it is alive, the source removes it within three
    // heartbeats.
    Duration revertedListTime = std::chrono::seconds(5);
    // Time for which marks of replicas that are no longer listed are kept; longer than a process
    // that is about to terminate lives.
    Duration markLifetime = std::chrono::minutes(10);
    // Longest pause that a replica can ask for.
    Duration maxRequestedPause = std::chrono::minutes(5);
    double smoothing = 0.15; // weight of the latest value in smoothed rates and ratios
    // Weight of the latest reported work time, which changes many times a second.
    double workTimeSmoothing = 0.3;
    // Highest weight of an observation of a replica that reports its work time; the longer ago the
    // previous one was, the more it counts.
    double maxSparseSmoothing = 0.5;
    double meanWorkRatioSmoothing = 0.05; // weight of the latest observation in meanWorkRatio
    // The figure comes with answers only: a replica that reported a high one gets no requests while
    // others are idle, and could not report a lower one. The estimate therefore fades within
    // moments to what was observed over many requests, and that within seconds to the usual.
    Duration workTimeHalfLife = std::chrono::milliseconds(400);
    Duration meanWorkRatioHalfLife = std::chrono::seconds(5);
    // Bounds of the reported work time, so that a wrong figure neither draws nor scares all
    // requests; the observed slowness corrects what is left.
    double minWorkTime = 0.5;
    double maxWorkTime = 4.0;
    Duration slownessHalfLife = std::chrono::milliseconds(400); // of plain services' replicas
    // Initial prefill speed, that of the engines in use; the observed slowness corrects it per
    // replica.
    double prefillTokensPerMs = 18.0;
    // Time for which assigned prompts are recorded; longer than streams are allowed to pause.
    Duration promptHistory = std::chrono::milliseconds(1'000);
    // A replica that has had no prompt to read for this long has no recent prefill: four steps,
    // more than an event takes.
    Duration prefillIdleTime = std::chrono::milliseconds(40);
    // Cost of attention in a long prompt, which grows with the square of the prompt's length.
    double msPerMillionTokenPairs = 1.4;
};

class ReplicaTable
{
public:
    explicit ReplicaTable(ReplicaTableSettings settings = {});

    // ---- Announcements ----

    /// Adds or updates a replica from its own announcement or from the platform's list. A new start
    /// time, address or service shows a restart and gives the replica a new row and generation;
    /// without a start time it is the process that is known. A replica that announced a drain
    /// counts as draining until it restarts.
    void onAnnounced(ReplicaInfo info, Instant now);

    /// Handles that a replica is no longer in the platform's list: removes it, now or at the end of
    /// the grace period of the latest outage of the source.
    /// @param sourceReturnedAt when the source of the list was back after its latest outage; zero:
    ///        it has had none
    void onDelisted(const std::string &id, Instant sourceReturnedAt, Instant now);

    /// Records that the source of the list came back from an older copy: it may list replicas that
    /// have ended, until it notices that they are silent.
    void onSourceReverted(Instant now);

    /// Restarts all grace periods that have begun. Call it while the source of the list is
    /// unreachable, so that replicas stay until it is back and had time to list them again.
    void extendGracePeriods(Instant now);

    /// Records a copy that was loaded and that the next announcement will list.
    /// @param usableAt when requests may be sent to the copy
    void onCopyAdded(const std::string &id, const std::string &copy, Instant usableAt);

    /// Records that a copy is being loaded.
    /// @param expectedAt when it is expected to be usable
    void onCopyLoading(const std::string &id, const std::string &copy, Instant expectedAt);

    /// @return when a replica of the service is expected to hold the copy; Instant::max() if no
    /// replica is loading it
    Instant copyExpectedAt(const std::string &service, const std::string &copy, Instant now) const;

    /// Records that a copy was ordered to be unloaded. It gets no new requests, although it stays
    /// listed until its last requests have finished.
    void onCopyUnloading(const std::string &id, const std::string &copy, Instant now);

    /// Records that a replica denied holding a copy.
    void onCopyDenied(const std::string &id, const std::string &copy, Instant now);

    /// Removes replicas whose grace period is over.
    /// @return ids and generations of the removed replicas
    std::vector<std::pair<std::string, std::uint64_t>> tick(Instant now);

    // ---- Requests ----

    /// Counts a request that this node sends to a replica.
    /// @param freshTokens prompt tokens that the replica has to read; 0 for plain services
    void onSent(const std::string &id, int freshTokens, Instant now);

    /// Records a prompt that this node or a peer sends to a replica. onSent() includes this.
    /// @param freshTokens prompt tokens that the replica has to read
    void onPromptAssigned(const std::string &id, int freshTokens, Instant now);

    /// Reverses onPromptAssigned() for an announced prompt that will not be sent.
    void onPromptWithdrawn(const std::string &id, int freshTokens, Instant now);

    /// Records a load report and resets ReplicaRow::changeSinceReport.
    void onLoadReport(const std::string &id, const ReplicaLoadReport &report, Instant now);

    /// Records the first byte of a response.
    /// @param generation of the row that the request was sent to; other generations are ignored
    /// @param ratio of the observed time to the first byte to the expected one
    void onFirstByte(const std::string &id, std::uint64_t generation, double ratio, Instant now);

    /// Counts a request that ended.
    /// @param generation of the row that the request was sent to; other generations are ignored
    void onFinished(const std::string &id, std::uint64_t generation, ReplicaOutcome outcome,
                    Instant now);

    /// Records that no connection to the replica could be established.
    void onConnectFailed(const std::string &id, Instant now);

    /// Records that a replica turned a request away and asked for no further ones for a while. The
    /// replica need not be listed.
    /// @param startedMs start of its process; earlier processes are ignored
    /// @return end of the pause; zero if the process has ended
    Instant onPauseRequested(const std::string &id, std::uint64_t startedMs,
                             std::chrono::milliseconds pause, Instant now);

    /// Records that a replica said in an answer that it is about to terminate. The first such
    /// answer of a process counts; later ones without it change nothing. The replica need not be
    /// listed.
    /// @param startedMs start of its process; earlier processes are ignored
    /// @param drainedAt from then on it gets no requests; until then only if no other has capacity
    /// @return whether this is new
    bool onLeaving(const std::string &id, std::uint64_t startedMs, Instant drainedAt, Instant now);

    // ---- Queries ----

    /// @return the row of that id, or null
    const ReplicaRow *find(const std::string &id) const;

    /// @return ids of a service's replicas, including those that are draining
    const std::vector<std::string> &replicasOfService(const std::string &service) const;

    /// @param model empty: a plain service
    /// @return ids of the service's replicas that may hold the model, which are few; all others do
    ///         not hold it. Each is to be asked by holds().
    const std::vector<std::string> &replicasOfModel(const std::string &service,
                                                    const std::string &model) const;

    /// @return whether new requests may be sent to the replica
    bool isUsable(const ReplicaRow &row, Instant now) const;

    /// @return whether the replica is terminating or gone and gets no further requests
    bool isDrained(const ReplicaRow &row, Instant now) const;

    /// @return whether the replica asked for no requests at this time
    bool isPaused(const std::string &id, Instant now) const;

    /// @return when the first of a service's replicas that hold the copy ends its pause; zero if
    /// one of them is not paused or none holds the copy
    Instant pauseEnd(const std::string &service, const std::string &model,
                     const std::string &adapter, Instant now) const;

    /// @return whether the replica holds the model and, unless the name is empty, the adapter
    bool holds(const ReplicaRow &row, const std::string &model, const std::string &adapter,
               Instant now) const;

    /// @return ratio of the replica's time to the first byte to the usual one. That of a plain
    ///         service's replica fades without responses: while others are idle, none would come
    ///         from one that was slow once. Of a replica that reports its work time: the factor by
    ///         which workRatio() differs from that.
    double slowness(const ReplicaRow &row, Instant now) const;

    /// @return estimated number of requests at the replica, from the latest load report and this
    /// node's own counts
    double estimatedLoad(const ReplicaRow &row, Instant now) const;

    /// @return ratio of the time that work takes at the replica to the usual one: the work time
    /// that
    ///         it reports, corrected by its slowness; slowness() without reports
    double workRatio(const ReplicaRow &row, Instant now) const;

    /// @return estimated time that the replica needs to read that many prompt tokens
    Duration prefillTime(const ReplicaRow &row, int freshTokens, Instant now) const;

    /// @return estimated time until the replica has read all prompts assigned to it
    Duration prefillAhead(const ReplicaRow &row, Instant now) const;

    /// @return estimated read time of the prompts that all nodes assigned to the replica within a
    /// span before now, at least prefillAhead(); zero if all were read more than prefillIdleTime
    /// ago
    Duration recentPrefill(const ReplicaRow &row, Duration span, Instant now) const;

    /// @return the limits that replicas stated for all nodes together; onSent() counts the sends
    RequestLimits &limits() { return m_limits; }
    const RequestLimits &limits() const { return m_limits; }

    /// @return all rows by replica id
    const std::map<std::string, ReplicaRow> &rows() const { return m_rows; }

    /// @return services of which a replica has stated its work time; see ReplicaLoadReport
    std::vector<std::string> workTimeServices() const;

private:
    /// What is known of a process for good; outlives its row, since the list may lose a living
    /// replica or go back to an older state.
    struct ProcessMark
    {
        std::uint64_t startedMs = 0; // of the process
        Instant pausedUntil;
        Instant drainedAt;        // said in an answer; zero: it stays
        bool hasDrained = false;  // said in its entry
        bool wasDelisted = false; // its entry was removed, not lapsed in an outage of the source
        Instant notedAt;          // when the mark was last changed
    };

    ReplicaRow *findRow(const std::string &id);
    std::uint64_t knownProcess(const std::string &id) const;
    ProcessMark *markOf(const std::string &id, std::uint64_t startedMs, Instant now);
    void applyMark(ReplicaRow &row) const;
    void index(const ReplicaRow &row);
    void unindex(const ReplicaRow &row);
    static std::vector<std::string> modelsOf(const ReplicaRow &row);
    void unindexModel(const ReplicaRow &row, const std::string &model);
    void updateModelIndex(const ReplicaRow &row, const std::vector<std::string> &earlier);

    ReplicaTableSettings m_settings;
    std::map<std::string, ReplicaRow> m_rows;
    std::unordered_map<std::string, std::vector<std::string>> m_byService; // replica ids
    std::unordered_map<std::string, std::vector<std::string>> m_byModel;   // by modelKey()
    std::unordered_map<std::string, ProcessMark> m_marks;                  // by replica id
    std::uint64_t m_nextGeneration = 1;
    Instant m_revertedUntil; // the list may show replicas that have ended
    RequestLimits m_limits;
};

/// @return the text that names a copy: "model" or "model/adapter"
std::string copyName(const std::string &model, const std::string &adapter);

/// @param copy "model" or "model/adapter"
/// @return whether the copies include it
bool holdsCopy(const std::vector<ModelCopy> &copies, const std::string &copy);

} // namespace burdock
