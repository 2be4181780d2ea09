// Starts requests, queues them while replicas are full, and refuses those that would start too
// late.
//
// Index
//   WaitPrediction                             the expected queueing time of a refused request
//   StartRequest, RefuseRequest, CopyRequest   actions that the caller has to carry out
//   SchedulerSettings
//   RequestScheduler                           the queues, one per service
//
// Designed for demand that rises to a multiple of what the replicas can serve, and for requests for
// models that are not resident yet. A queue is ordered by priority, then by the time at which the
// first byte is due; organisations of equal priority take turns as FairShare says. Requests that
// are already late are started after those that can still be on time. A request is refused on
// arrival if it would start too late, judged by the prompts queued before it and by the rate at
// which requests are started. Callers thus learn early that they have to retry, and capacity goes
// to requests that can still be on time. The prediction is repeated while a request is queued,
// since capacity may be lost: it is refused once it can no longer start by its queue deadline.
// While all replicas that could run a request have asked for a pause, it is refused at once with a
// time after the pause; while they have stated request limits, it waits for this node's share if
// that comes in time.
//
// The scheduler does no I/O. It returns its decisions as actions; each submitted request leads to
// one StartRequest or RefuseRequest unless it is cancelled:
//
//   scheduler.submit(request, {}, false, now);
//   for (SchedulerAction &action : scheduler.takeActions())
//       ...
#pragma once

#include "serving/fairshare.h"
#include "serving/replicachooser.h"

#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <variant>
#include <vector>

namespace burdock {

// ---- Actions ------------------------------------------------------------------------------------

/// Send the request to the chosen replica. The replica table has counted the send already.
struct StartRequest
{
    std::uint64_t id = 0; // of the request
    ReplicaChoice choice;
    Duration waited {}; // time in the queue
};

/// The expected queueing time of a request, with what it was derived from.
struct WaitPrediction
{
    Duration wait {};
    double requestsAhead = 0.0;   // for the same copy, those that are started before it
    double startsPerSecond = 0.0; // of requests for the copy at this node; 0: unknown
};

/// Tell the caller that the request was not run.
struct RefuseRequest
{
    std::uint64_t id = 0;                        // of the request
    const char *reason = "";                     // reason value for log records
    std::chrono::milliseconds retryAfter {};     // time after which a retry is likely to be served
    std::optional<WaitPrediction> prediction {}; // at the time of the refusal, for log records
};

/// Request a copy of a model or adapter that no replica of the service holds.
struct CopyRequest
{
    std::string service;
    std::string model;
    std::string adapter; // empty for the model without an adapter
};

using SchedulerAction = std::variant<StartRequest, RefuseRequest, CopyRequest>;

// ---- Scheduler ----------------------------------------------------------------------------------

struct SchedulerSettings
{
    std::size_t maxQueued = 2'000; // requests queued at this node; bounds its memory
    // Maximum queueing time while all replicas with the copy are unusable; longer than the first
    // pause after a failed connection.
    Duration maxUnusableWait = std::chrono::milliseconds(250);
    // Maximum queueing time until this node learns that the missing copy is being loaded.
    Duration loadOrderWait = std::chrono::milliseconds(300);
    // Share of a request's time limit for which it may be queued until a copy is loaded.
    double maxLoadWaitShare = 0.7;
    // Interval at which a CopyRequest is repeated, since it may be lost.
    Duration copyRequestInterval = std::chrono::milliseconds(250);
    // Window over which starts are counted.
    Duration rateWindow = std::chrono::milliseconds(500);
    // The start rate counts as unknown if requests were queued for less than this time per window,
    // in smoothed seconds.
    double minBacklog = 0.1;
    // Share of a request's remaining time within which a late start is still worthwhile.
    double maxLateShare = 0.7;
    // Time before its caller leaves by which a queued request is refused, so that the refusal
    // arrives: two ticks and the way. Callers that leave sooner are refused after maxLateShare of
    // their time.
    Duration callerMargin = std::chrono::milliseconds(100);
    // A queued request is refused before its queue deadline if its expected wait exceeds the time
    // left by this factor and this time, which allow for errors of the prediction.
    double reviewMargin = 1.5;
    Duration reviewSlack = std::chrono::milliseconds(100);
    Duration reviewInterval = std::chrono::milliseconds(100); // between two looks at a request
    // Share of a known wait, such as a pause of all replicas, by which the retries of refused
    // callers are spread.
    double retrySpread = 0.5;
    // Bounds of the retry delay that callers are advised to keep.
    std::chrono::milliseconds minRetryAfter { 250 };
    std::chrono::milliseconds maxRetryAfter { 3'000 };
};

class RequestScheduler
{
public:
    /// @param table, chooser must outlive the scheduler
    RequestScheduler(ReplicaTable &table, ReplicaChooser &chooser, SchedulerSettings settings = {});

    /// Starts, queues or refuses a request.
    /// @param excluded ids of replicas that it must not be sent to, from earlier attempts
    /// @param isRetry whether an earlier attempt was made; the request is then not refused because
    ///        it is expected to start late
    void submit(const ServingRequest &request, std::vector<std::string> excluded, bool isRetry,
                Instant now);

    /// Starts a request that has an attempt under way once more, if a replica has capacity now.
    /// @param excluded ids of replicas that it must not be sent to
    /// @return the start, which is not among the actions; nothing if no replica has capacity
    std::optional<StartRequest> startNow(const ServingRequest &request,
                                         std::vector<std::string> excluded, Instant now);

    /// Removes a queued request whose caller disconnected.
    void cancel(std::uint64_t id);

    /// Starts the queued requests for which a replica has capacity.
    void pump(Instant now);

    /// Starts queued requests, refuses those that were queued too long and updates the start rates.
    /// Call it every 10 to 50 ms.
    void tick(Instant now);

    /// @return the actions since the last call, in order
    std::vector<SchedulerAction> takeActions();

    /// @return number of queued requests
    std::size_t queued() const { return m_serviceById.size(); }

private:
    enum class CopyState {
        Held,    // or there is none, for plain services
        Awaited, // no replica held it when the request arrived
        Lost,    // no replica holds it any more
    };

    struct QueuedRequest
    {
        ServingRequest request;
        std::string key; // service and copy, see copyKey()
        PromptChain chain;
        std::vector<std::string> excluded;
        bool isRetry = false;              // whether an earlier attempt was made
        Instant queuedAt;                  // when the request was submitted
        Instant queueDeadline;             // the request is refused if it is still queued then
        NoReplica cause = NoReplica::Full; // why it was not started at the latest try
        CopyState copyState = CopyState::Held;
    };
    using Queue = std::list<QueuedRequest>; // by priority, then by due time
    using Selection = std::function<bool(const QueuedRequest &)>;
    /// Handles a request of a queue, which it may remove.
    /// @return whether the request uses up a part of its organisation's share
    using Visit = std::function<bool(Queue::iterator)>;

    /// The requests for the same copy that are started before a request.
    struct RequestsAhead
    {
        double count = 0.0;
        double readTimeUs = 0.0; // of their prompts, at one replica
    };

    /// The replicas that can read the prompts of a copy's requests.
    struct Readers
    {
        const ReplicaRow *row = nullptr; // one of them; null: there are none
        bool isCopyHeld = true;   // by replicas that can be used or not; always without a model
        Duration prefillAhead {}; // the shortest of them
        double speed = 0.0;       // of all together, as a multiple of that one's
    };

    /// The rate at which this node starts requests for one copy, measured while requests are
    /// queued. Without a backlog, the starts reflect the demand and not what the replicas can
    /// serve.
    struct StartRate
    {
        int waiting = 0;              // requests in the queue
        int starts = 0;               // in the current window, while requests were queued
        Duration backlogged {};       // part of the current window with queued requests
        double smoothedStarts = 0.0;  // starts per window
        double smoothedBacklog = 0.0; // seconds per window with queued requests
    };

    Queue::iterator dequeue(Queue &queue, Queue::iterator position);
    void measureRates(Instant now);
    void pumpQueue(Queue &queue, std::unordered_set<std::string> &blocked, bool late, Instant now);
    bool isBehindOthers(const QueuedRequest &newcomer, Instant now) const;
    bool tryStart(QueuedRequest &waiting, Instant now);
    std::optional<StartRequest> place(QueuedRequest &waiting, Instant now);
    void enqueue(QueuedRequest waiting, Instant now);
    void refuse(const QueuedRequest &waiting, const char *reason, Instant now);
    bool refuseIfPaused(const QueuedRequest &waiting, Instant now);
    bool refuseIfLimited(const QueuedRequest &waiting, Instant now);
    void refuseUntil(const QueuedRequest &waiting, const char *reason,
                     const WaitPrediction &prediction);
    void requestCopy(const ServingRequest &request, Instant now);
    Instant initialQueueDeadline(const QueuedRequest &waiting, Instant now) const;
    Instant extendedQueueDeadline(const QueuedRequest &waiting, Instant now) const;
    double startsPerSecond(const std::string &key) const;
    Readers readersOf(const ServingRequest &request, Instant now) const;
    static WaitPrediction predict(const RequestsAhead &ahead, const Readers &readers,
                                  double startsPerSecond);
    WaitPrediction expectedWait(const QueuedRequest &waiting, Instant now) const;
    void reviewQueue(Queue &queue, Instant now);
    void noteCopyState(QueuedRequest &waiting, bool isCopyHeld, Instant now) const;
    RequestsAhead requestsAhead(const QueuedRequest &waiting, const ReplicaRow *reader,
                                Instant now) const;
    void visitInOrder(Queue &queue, const Selection &selection, const Visit &visit, Instant now);
    bool makeRoom(const QueuedRequest &newcomer, Instant now);

    ReplicaTable &m_table;
    ReplicaChooser &m_chooser;
    SchedulerSettings m_settings;
    std::map<std::string, Queue> m_queues;                        // by service
    std::unordered_map<std::uint64_t, std::string> m_serviceById; // of the queued requests
    std::unordered_map<std::string, StartRate> m_rates;           // by copyKey()
    std::map<std::string, FairShare> m_shares;                    // by service
    std::unordered_map<std::string, Instant> m_nextCopyRequestAt; // by copyKey()
    Instant m_tickedAt;                                           // time of the previous tick
    Instant m_nextReviewAt;                                       // of the queues
    Instant m_windowEnd;                                          // of the current rate window
    std::vector<SchedulerAction> m_actions;
};

} // namespace burdock
