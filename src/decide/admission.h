// Admission control: bounded queues for requests that cannot start at once.
//
// Index
//   QueuedRequest      a request and its deadline
//   Refusal            the final response to a request that is not sent (again)
//   StartResult        result of an attempt to start a request
//   RequestStarter     interface that sends a request to an upstream
//   AdmissionSettings  bounds and weights
//   Admission          the queues
//
// There is one queue per routing key (see upstreamtable.h) and request class, divided by customer.
//
// Classes: fast requests have precedence over at-most-once requests, and these over may-wait
// requests. After `lowerClassInterval` starts for which a lower class had to wait, one start goes
// to a lower class, so that none starves.
//
// Customers: the customers of a queue take turns by deficit round robin, weighted by prompt tokens.
// A customer that sends too many requests delays its own requests only.
//
// Refusals: a request is refused at once when its queue is full or, at the queue's drain rate,
// would not be started before its deadline. It is refused later when its deadline passes, or when a
// customer with fewer requests needs its position in a full queue. The refusal states the delay
// after which a retry could be started before its deadline.
//
//   admission.offer(request, now);           // queues it, or adds a refusal to takeRefusals()
//   admission.startQueued(starter, now);     // starts requests while upstreams have free slots
#pragma once

#include "base/instant.h"
#include "base/resultcode.h"
#include "decide/router.h"

#include <array>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Requests -----------------------------------------------------------------------------------

struct QueuedRequest
{
    RoutingRequest routing;  // id, class, customer and routing key
    Instant arrived;         // when it arrived at this node
    Instant deadline;        // the first byte of the response is due by then
    int attempt = 0;         // how many times it has been sent
    bool mayHaveRun = false; // bytes of it were sent to an upstream, which may have run it
};

struct Refusal
{
    std::uint64_t id = 0;                           // id of the request
    ResultCode code = ResultCode::RefusedOverload;  // result code that the caller receives
    bool notRun = true;                             // true if certainly no upstream has run it
    std::chrono::milliseconds retryAfter { 1'000 }; // delay after which a retry could succeed
    std::string reason;                             // reason for the log, e.g. "queue_full"
};

enum class StartResult {
    Started,
    NoFreeSlot, // no request of this class and key can start now
    NoUpstream, // this request cannot start now, but others of its class and key may
};

/// Starts requests. Implemented by Dispatcher, and by test doubles.
class RequestStarter
{
public:
    RequestStarter() = default;
    virtual ~RequestStarter() = default;
    RequestStarter(const RequestStarter &) = delete;
    RequestStarter &operator=(const RequestStarter &) = delete;

    /// Sends a request to an upstream if one can take it now.
    /// @return StartResult::Started, or why the request cannot start
    virtual StartResult tryStart(const QueuedRequest &request, Instant now) = 0;
};

// ---- Queues -------------------------------------------------------------------------------------

struct AdmissionSettings
{
    std::size_t maxPerKey = 2'000;                    // bound of each queue (key and class)
    std::size_t maxTotal = 20'000;                    // bound of all queues of this node together
    int lowerClassInterval = 8;                       // starts between those of lower classes
    int quantum = 2'000;                              // prompt tokens that a customer gets per turn
    Duration rateWindow = std::chrono::seconds(1);    // interval of drain rate measurements
    Duration retryAfterMin = std::chrono::seconds(1); // lower bound of Refusal::retryAfter
    Duration retryAfterMax = std::chrono::seconds(60); // upper bound before jitter (up to 25 %)

    // False only in experiments, for comparison: all customers share one queue.
    bool fairCustomers = true;
};

class Admission
{
public:
    explicit Admission(AdmissionSettings settings = {});

    /// Queues a request, or refuses it at once.
    /// @return whether it was queued
    bool offer(const QueuedRequest &request, Instant now);

    /// Removes a request from its queue because its caller disconnected.
    /// @return whether the request was queued
    bool cancel(std::uint64_t id);

    /// Starts queued requests of one routing key until none can start.
    void startQueuedForKey(const std::string &key, RequestStarter &starter, Instant now);

    /// Starts queued requests of every routing key. Each call begins with the next key, so that no
    /// key is always served last.
    void startQueued(RequestStarter &starter, Instant now);

    /// Refuses requests whose deadline has passed and updates the drain rates. Call it every 10
    /// to 50 ms, as Dispatcher::tick() does.
    void tick(Instant now);

    /// @return refusals since the last call. A request is refused at most once.
    std::vector<Refusal> takeRefusals();

    /// @return number of queued requests in all queues, or in one
    std::size_t queued() const { return m_positions.size(); }
    std::size_t queued(const std::string &key, RequestClass requestClass) const;

    /// @return estimated queueing time of a new request at the current drain rate; 0 while the rate
    /// is unknown or the queue is empty
    Duration expectedWait(const RoutingRequest &request) const;

private:
    static constexpr std::size_t ClassCount = 3;

    struct CustomerQueue
    {
        std::deque<QueuedRequest> requests; // oldest first
        int deficit = 0;                    // tokens that its starts may still cost in this turn
    };
    struct ClassQueue
    {
        std::map<std::string, CustomerQueue> customers; // customers with queued requests
        std::deque<std::string> turns;                  // customers in the order of their turns
        std::size_t size = 0;                           // queued requests of all customers
        int startsInWindow = 0;                         // starts in the current rate window
        bool hadBacklog = false;                        // had requests queued when the window began
        double startsPerSecond = 0.0;                   // drain rate; 0 while unknown
    };
    struct KeyQueues
    {
        std::array<ClassQueue, ClassCount> classes; // indexed by classPriority()
        int startsUntilLowerClass = 8;              // a lower class has precedence at 0
    };
    struct QueuePosition
    {
        std::string key;          // routing key
        std::size_t priority = 0; // classPriority() of its class
        std::string customer;     // customer, or "*" where all share one queue
    };

    /// Checks the bounds. In a full queue, refuses the newest request of the customer with the
    /// most requests if the new request's customer has fewer.
    /// @return whether the request can be queued
    bool ensureCapacity(const QueuedRequest &request, ClassQueue &queue, Instant now);
    bool startOne(KeyQueues &queues, std::size_t priority, bool mayUseReservedSlots,
                  RequestStarter &starter, Instant now);
    static bool hasLowerClass(const KeyQueues &queues, std::size_t priority);
    bool startLowerClass(KeyQueues &queues, RequestStarter &starter, Instant now);
    void rotateTurns(ClassQueue &queue);
    void removeAt(ClassQueue &queue, const std::string &customer, std::size_t index);
    void expire(ClassQueue &queue, Instant now);
    void updateDrainRate(ClassQueue &queue, double seconds);
    void refuse(const QueuedRequest &request, const std::string &reason, Duration wait,
                Instant now);
    const std::string &queueNameOf(const std::string &customer) const;

    AdmissionSettings m_settings;
    std::map<std::string, KeyQueues> m_keys;
    std::map<std::uint64_t, QueuePosition> m_positions; // of the queued requests, by id
    std::vector<Refusal> m_refusals;
    Instant m_windowEnd;
    std::string m_lastKey; // key at which the last startQueued() began
};

/// @return 0 for fast, 1 for at-most-once and 2 for may-wait requests; requests with lower values
/// are started first
std::size_t classPriority(RequestClass requestClass);

} // namespace burdock
