// Request dispatch on an entry node: admission, routing, retries and cancellation.
//
// Index
//   SendRequest, CancelAttempt, FailRequest   actions for the owner of the Dispatcher
//   DispatcherSettings                        bounds of queues and retries
//   ActiveRequest                             a request that has been sent to an upstream
//   Dispatcher                                events in, actions out
//
// Terms
//   caller    the client that sent the HTTP request
//   attempt   one send of a request to an upstream; the first has number 1
//
// The Dispatcher does no I/O. The code that owns it also owns the sockets, reports each event to
// it and carries out its actions:
//
//   dispatcher.onRequest(request, now);
//   for (DispatchAction &action : dispatcher.takeActions())
//       ...                                  // SendRequest: connect to choice.address
//   dispatcher.onFirstByte(id, attempt, now);
//   dispatcher.onFinished(id, attempt, now);
//
// Guarantees
//   - An at-most-once request is sent once. If its attempt fails, its outcome is reported as
//     unknown, or as not run when no connection was made.
//   - Other requests are retried, at another upstream if there is one, within the retry budget and
//     up to maxAttempts sends.
//   - A refused request gets its final response at once, as FailRequest.
//   - Events of an earlier attempt are ignored.
#pragma once

#include "decide/admission.h"
#include "decide/retrybudget.h"
#include "decide/router.h"
#include "decide/upstreamtable.h"

#include <map>
#include <variant>
#include <vector>

namespace burdock {

// ---- Actions ------------------------------------------------------------------------------------

struct SendRequest
{
    std::uint64_t id = 0; // id of the request
    int attempt = 0;      // number of the attempt, which its events have to name
    RoutingChoice choice; // chosen upstream and its address
    std::string reason;   // describeRouting() of the choice, for the log
    bool resumes = false; // an earlier attempt returned part of the response: continue after it
};

struct CancelAttempt
{
    std::uint64_t id = 0; // id of the request
    int attempt = 0;      // number of the attempt to cancel
    std::string upstream; // upstream that the attempt was sent to
};

/// Ends a request with an error response because no upstream has given a response.
struct FailRequest
{
    Refusal refusal; // result code, whether it may have run, and retry-after
};

using DispatchAction = std::variant<SendRequest, CancelAttempt, FailRequest>;

// ---- Dispatcher ---------------------------------------------------------------------------------

struct DispatcherSettings
{
    AdmissionSettings admission;
    RetryBudgetSettings retries;
    int maxAttempts = 3; // maximum number of sends of one request
};

struct ActiveRequest
{
    QueuedRequest request;      // its `attempt` is that of the current attempt
    std::string upstream;       // upstream of the current attempt
    std::uint32_t number = 0;   // UpstreamRow::number, which differs between incarnations
    bool loadsAdapter = false;  // the attempt waits for an adapter load
    bool responseBegan = false; // any attempt has returned a byte of the response
};

class Dispatcher : private RequestStarter
{
public:
    /// @param table, prefixes, policy must outlive the dispatcher
    Dispatcher(UpstreamTable &table, PrefixIndex &prefixes, RoutingPolicy &policy,
               DispatcherSettings settings = {});

    /// A request has arrived from a caller.
    /// @param request its id must be unique on this node
    void onRequest(const QueuedRequest &request, Instant now);

    /// The caller has disconnected: removes the request from its queue, or cancels its attempt.
    void onCancelled(std::uint64_t id, Instant now);

    /// The upstream did not accept a connection, so no byte of the request was sent.
    void onConnectFailed(std::uint64_t id, int attempt, Instant now);

    /// The first byte of the response has arrived.
    void onFirstByte(std::uint64_t id, int attempt, Instant now);

    /// The complete response has arrived.
    void onFinished(std::uint64_t id, int attempt, Instant now);

    /// The upstream failed or closed the stream after bytes of the request were sent.
    /// @param retryAllowed false to fail the request, e.g. if it crashes its upstreams
    void onUpstreamFailed(std::uint64_t id, int attempt, bool retryAllowed, Instant now);

    /// Refuses queued requests that are past their deadline and starts those for which there is a
    /// free slot. Call it every 10 to 50 ms.
    void tick(Instant now);

    /// @return actions since the last call, in the order in which to carry them out
    std::vector<DispatchAction> takeActions();

    const std::map<std::uint64_t, ActiveRequest> &active() const { return m_active; }
    const Admission &admission() const { return m_admission; }
    const RetryBudget &retryBudget() const { return m_retries; }

private:
    StartResult tryStart(const QueuedRequest &request, Instant now) override;
    ActiveRequest *findAttempt(std::uint64_t id, int attempt);
    bool isSameUpstream(const ActiveRequest &active) const;
    void recordAttemptEnd(const ActiveRequest &active, bool failed, Instant now);
    void retryOrFail(ActiveRequest active, bool retryAllowed, Instant now);
    void queueRequest(const QueuedRequest &request, Instant now);
    void failRequest(const QueuedRequest &request, ResultCode code, const std::string &reason);
    void collectRefusals();
    bool hasUpstream(const RoutingRequest &request, Instant now) const;

    UpstreamTable &m_table;
    PrefixIndex &m_prefixes;
    RoutingPolicy &m_policy;
    DispatcherSettings m_settings;
    Admission m_admission;
    RetryBudget m_retries;
    std::map<std::uint64_t, ActiveRequest> m_active;
    // Requests queued for a retry, by id: whether an earlier attempt returned part of the response.
    std::map<std::uint64_t, bool> m_queuedRetries;
    std::vector<DispatchAction> m_actions;
};

} // namespace burdock
