// Starts requests, lets them wait while replicas are full, and refuses what would come too late.
//
// Index
//   StartRequest, RefuseRequest, WantCopy   what the shell carries out
//   SchedulerSettings
//   RequestScheduler                        the queues
//
// Answers the heaviest loads: demand that jumps to a multiple of what the replicas can serve, and
// demand for models that are not resident yet. A queue is ordered by priority, then by who is due
// first; those that are late already come after those that can still be on time. A request is
// refused at once when the queue before it, by the prompts in it and at the rate at which it moves,
// would start it too late to be on time; so callers learn early that they have to come back, and
// capacity goes to requests that are still on time.
//
//   scheduler.submit(request, {}, now);
//   for (SchedulerAction &action : scheduler.takeActions())
//       ...
#pragma once

#include "serving/replicachooser.h"

#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace burdock {

// ---- Actions ------------------------------------------------------------------------------------

struct StartRequest
{
    std::uint64_t id = 0;
    ReplicaChoice choice;
    Duration waited {}; // in the queue
};

struct RefuseRequest
{
    std::uint64_t id = 0;
    const char *reason = "";                 // for the log
    std::chrono::milliseconds retryAfter {}; // when a new try is likely to be served
};

/// A model or adapter is asked for that no replica holds.
struct WantCopy
{
    std::string service;
    std::string model;
    std::string adapter;
};

using SchedulerAction = std::variant<StartRequest, RefuseRequest, WantCopy>;

// ---- Scheduler ----------------------------------------------------------------------------------

struct SchedulerSettings
{
    std::size_t mostQueued = 2'000; // requests waiting at this node; bounds its memory
    Duration unusableWait = std::chrono::milliseconds(250); // for a replica to come back; longer
                                                            // than the first pause after a failure
    Duration orderWait = std::chrono::milliseconds(300);    // for news that a copy is being loaded
    double placingShare = 0.7; // of a request's time that it may wait for a copy to be loaded
    Duration wantRepeat = std::chrono::milliseconds(250); // WantCopy is repeated, it may get lost
    Duration rateWindow = std::chrono::milliseconds(500); // starts are counted over it
    double leastBacklog = 0.1; // seconds of a window, smoothed; with less a rate is not known
    double lateShare = 0.7;    // of a request's time within which a late start is still worth it
    std::chrono::milliseconds retryAfterMin { 250 };   // bounds of the advice to callers
    std::chrono::milliseconds retryAfterMax { 3'000 }; //
};

class RequestScheduler
{
public:
    /// @param table, chooser must outlive the scheduler
    RequestScheduler(ReplicaTable &table, ReplicaChooser &chooser, SchedulerSettings settings = {});

    /// Starts, queues or refuses a request.
    /// @param excluded replicas that it must not go to, from earlier attempts
    /// @param attempted whether it was sent before: then it is not refused for being late
    void submit(const ServingRequest &request, std::vector<std::string> excluded, bool attempted,
                Instant now);

    /// Forgets a request that waits, because its caller left.
    void cancel(std::uint64_t id);

    /// Starts what has room by now.
    void pump(Instant now);

    /// Refuses what waited too long; measures the rates. Call it each 10 to 50 ms.
    void tick(Instant now);

    std::vector<SchedulerAction> takeActions();

    std::size_t queued() const { return m_where.size(); }

private:
    struct Waiting
    {
        ServingRequest request;
        std::string key; // its copy, or service for a plain one
        PromptChain chain;
        std::vector<std::string> excluded;
        bool attempted = false;
        Instant since;    // in the queue
        Instant giveUpAt; // refused then
        NoReplica cause = NoReplica::Full;
    };
    using Queue = std::list<Waiting>; // most urgent first
    /// How fast the replicas take requests of one copy from this node while some wait here. Without
    /// a backlog, starts say how many were asked for, not how many could be served.
    struct Rate
    {
        int waiting = 0;              // in the queue
        int starts = 0;               // in the window, while some waited
        Duration backlogged {};       // of the window
        double smoothedStarts = 0.0;  // of a window
        double smoothedBacklog = 0.0; // seconds of a window
    };

    Queue::iterator dequeue(Queue &queue, Queue::iterator place);
    void measureRates(Instant now);
    void pumpQueue(Queue &queue, std::unordered_set<std::string> &stuck, bool late, Instant now);
    bool tryStart(Waiting &waiting, Instant now);
    void enqueue(Waiting waiting, Instant now);
    void refuse(const Waiting &waiting, const char *reason, Instant now);
    void want(const ServingRequest &request, Instant now);
    Instant patience(const Waiting &waiting, Instant now) const;
    Instant extendedPatience(const Waiting &waiting, Instant now) const;
    double startsPerSecond(const std::string &key) const;
    Duration expectedWait(const Waiting &waiting, Instant now) const;
    Duration promptsAhead(const Waiting &waiting, Instant now) const;
    std::size_t aheadOf(const Waiting &waiting) const;

    ReplicaTable &m_table;
    ReplicaChooser &m_chooser;
    SchedulerSettings m_settings;
    std::map<std::string, Queue> m_queues; // by service
    std::unordered_map<std::uint64_t, std::string> m_where;
    std::unordered_map<std::string, Rate> m_rates;    // by copy, or service for plain ones
    std::unordered_map<std::string, Instant> m_wants; // by copy: not repeated before
    Instant m_tickedAt;
    Instant m_windowEnd;
    std::vector<SchedulerAction> m_actions;
};

} // namespace burdock
