// Queues requests that cannot start at once, within bounds and deadlines, and refuses the rest.
//
// Index
//   QueuedRequest      a request and its deadline
//   Refusal            the final answer to a request that is not run
//   StartTarget        starts a request, or says why it cannot
//   AdmissionSettings
//   Admission          the queues
//
// One queue for each serving key and class, in it one for each customer. Fast requests go first,
// then orders, then those that may wait; yet each `lowerClassTurn`-th start goes to a lower class,
// so that none starves. Customers of one queue take turns by deficit round robin: one that floods
// waits behind itself. A request is refused at once when the queue cannot reach it before its
// deadline at the rate at which it drains, with the time after which a new try would be in time.
//
//   admission.offer(request, now);        // queued, or a refusal is waiting in takeRefusals()
//   admission.pump(target, now);          // starts what has room
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
    RoutingRequest routing;  // what it asks for
    Instant arrived;         // when it came to this node
    Instant deadline;        // when its answer must have begun
    int attempt = 0;         // sends so far
    bool mayHaveRun = false; // bytes of it have been sent to an upstream
};

struct Refusal
{
    std::uint64_t id = 0;                           // the request
    ResultCode code = ResultCode::RefusedOverload;  // what to tell the caller
    bool notRun = true;                             // certain that no upstream has run it
    std::chrono::milliseconds retryAfter { 1'000 }; // when a new try would be in time
    std::string reason;                             // for the log, e.g. "queue_full"
};

enum class StartResult {
    Started,
    NoRoom,     // nothing of this class can start under this key now
    NoUpstream, // this request cannot start now; another might
};

/// Starts requests; Dispatcher is the one of the product.
class StartTarget
{
public:
    StartTarget() = default;
    virtual ~StartTarget() = default;
    StartTarget(const StartTarget &) = delete;
    StartTarget &operator=(const StartTarget &) = delete;

    virtual StartResult tryStart(const QueuedRequest &request, Instant now) = 0;
};

// ---- Queues -------------------------------------------------------------------------------------

struct AdmissionSettings
{
    std::size_t maxPerKey = 2'000;                     // requests queued under a key and class
    std::size_t maxTotal = 20'000;                     // requests queued on this node
    int lowerClassTurn = 8;                            // each such start goes to a lower class
    int quantum = 2'000;                               // prompt tokens a customer gets in a turn
    Duration rateWindow = std::chrono::seconds(1);     // the drain rate is measured over it
    Duration retryAfterMin = std::chrono::seconds(1);  // bounds of retry-after
    Duration retryAfterMax = std::chrono::seconds(60); //
    bool fairCustomers = true; // off in the experiments that measure what fairness is worth
};

class Admission
{
public:
    explicit Admission(AdmissionSettings settings = {});

    /// Queues a request, or refuses it at once.
    /// @return whether it was queued
    bool offer(const QueuedRequest &request, Instant now);

    /// Takes a request out of its queue because its caller left.
    /// @return whether it was queued
    bool cancel(std::uint64_t id);

    /// Starts requests under one key until there is no room.
    void pumpKey(const std::string &key, StartTarget &target, Instant now);

    /// Starts requests under every key, beginning with another key each time.
    void pump(StartTarget &target, Instant now);

    /// Refuses requests whose deadline has passed and measures the drain rates.
    void tick(Instant now);

    /// @return refusals since the last call; each request is refused once at most
    std::vector<Refusal> takeRefusals();

    std::size_t queued() const { return m_where.size(); }
    std::size_t queued(const std::string &key, RequestClass requestClass) const;

    /// @return the wait that a new request would meet, from the observed drain rate
    Duration expectedWait(const RoutingRequest &request) const;

private:
    static constexpr std::size_t ClassCount = 3;

    struct CustomerQueue
    {
        std::deque<QueuedRequest> requests; // oldest first
        int deficit = 0;                    // prompt tokens it may still start in this turn
    };
    struct ClassQueue
    {
        std::map<std::string, CustomerQueue> customers; // those with requests queued
        std::deque<std::string> turns;                  // whose turn is next
        std::size_t size = 0;                           // requests in all
        int startsInWindow = 0;                         // since the window began
        bool wasFull = false;                           // it held requests throughout the window
        double startsPerSecond = 0.0;                   // drain rate; 0 is "not known yet"
    };
    struct KeyQueues
    {
        std::array<ClassQueue, ClassCount> classes; // in the order of priority
        int startsUntilLowerClass = 8;              // the guaranteed turn of the lower classes
    };
    struct Place
    {
        std::string key;          // the key
        std::size_t priority = 0; // index of the class
        std::string customer;     // the customer
    };

    bool makeRoom(const QueuedRequest &request, ClassQueue &queue, Instant now);
    bool startOne(KeyQueues &queues, std::size_t priority, bool useReserve, StartTarget &target,
                  Instant now);
    static bool hasLowerClass(const KeyQueues &queues, std::size_t priority);
    bool startLowerClass(KeyQueues &queues, StartTarget &target, Instant now);
    void nextTurn(ClassQueue &queue);
    void removeAt(ClassQueue &queue, const std::string &customer, std::size_t index);
    void expire(ClassQueue &queue, Instant now);
    void measure(ClassQueue &queue, double seconds);
    void refuse(const QueuedRequest &request, const std::string &reason, Duration wait,
                Instant now);
    const std::string &fairName(const std::string &customer) const;

    AdmissionSettings m_settings;
    std::map<std::string, KeyQueues> m_keys;
    std::map<std::uint64_t, Place> m_where; // requests queued now
    std::vector<Refusal> m_refusals;
    Instant m_windowEnd;
    std::string m_lastKey; // where pump() began
};

/// @return 0 for requests that must answer fast, 1 for orders, 2 for those that may wait
std::size_t classPriority(RequestClass requestClass);

} // namespace burdock
