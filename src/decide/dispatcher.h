// Takes requests from arrival to their final answer: admission, routing, retries, cancellation.
//
// Index
//   SendRequest, CancelAttempt, GiveAnswer   what the shell carries out
//   DispatcherSettings
//   ActiveRequest                            a request that has been sent
//   Dispatcher                               the system
//
// The shell owns the sockets. It reports each event and carries out the actions:
//
//   dispatcher.onRequest(request, now);
//   for (DispatchAction &action : dispatcher.takeActions())
//       ...                                  // SendRequest: connect to action.choice.address
//   dispatcher.onFirstByte(id, attempt, now);
//   dispatcher.onFinished(id, attempt, now);
//
// Rules: a request that must not run twice is sent once. Others are retried within the fleet's
// retry budget, at another upstream. What is refused gets its final answer at once. Events that
// speak of an earlier attempt are dropped.
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
    std::uint64_t id = 0; // the request
    int attempt = 0;      // 1 for the first send; events give it back
    RoutingChoice choice; // where to, and why
    std::string reason;   // "name=value" fields of the decision, for the log
    bool resumes = false; // part of the answer has arrived before: go on after it
};

struct CancelAttempt
{
    std::uint64_t id = 0; // the request
    int attempt = 0;      // the attempt to end
    std::string upstream; // where it runs
};

/// The final answer to a request that gets none from an upstream.
struct GiveAnswer
{
    Refusal refusal; // code, whether it surely has not run, when to come back
};

using DispatchAction = std::variant<SendRequest, CancelAttempt, GiveAnswer>;

// ---- System -------------------------------------------------------------------------------------

struct DispatcherSettings
{
    AdmissionSettings admission;
    RetryBudgetSettings retries;
    int maxAttempts = 3; // sends of one request
};

struct ActiveRequest
{
    QueuedRequest request;     // with the attempt under way
    std::string upstream;      // where it runs
    std::uint32_t number = 0;  // the upstream's row, to tell incarnations apart
    bool loadsAdapter = false; // it still waits for an adapter
    bool answerBegan = false;  // a byte of an answer has arrived, in any attempt
};

class Dispatcher : private StartTarget
{
public:
    /// @param table, policy must outlive the dispatcher
    Dispatcher(UpstreamTable &table, PrefixIndex &prefixes, RoutingPolicy &policy,
               DispatcherSettings settings = {});

    /// A caller's request has been read.
    void onRequest(const QueuedRequest &request, Instant now);

    /// The caller has left.
    void onCancelled(std::uint64_t id, Instant now);

    /// The upstream accepted no connection: nothing of the request was sent.
    void onConnectFailed(std::uint64_t id, int attempt, Instant now);

    /// The first byte of the answer has arrived.
    void onFirstByte(std::uint64_t id, int attempt, Instant now);

    /// The whole answer has arrived.
    void onFinished(std::uint64_t id, int attempt, Instant now);

    /// The upstream failed, or its stream broke off, after bytes of the request were sent.
    /// @param retryAllowed false to give up, e.g. for a request that crashes its upstreams
    void onUpstreamFailed(std::uint64_t id, int attempt, bool retryAllowed, Instant now);

    /// Refuses what is overdue and starts what has room. Call it each 10 to 50 ms.
    void tick(Instant now);

    std::vector<DispatchAction> takeActions();

    const std::map<std::uint64_t, ActiveRequest> &active() const { return m_active; }
    const Admission &admission() const { return m_admission; }
    const RetryBudget &retryBudget() const { return m_retries; }

private:
    StartResult tryStart(const QueuedRequest &request, Instant now) override;
    ActiveRequest *findAttempt(std::uint64_t id, int attempt);
    bool isSameUpstream(const ActiveRequest &active) const;
    void leaveUpstream(const ActiveRequest &active, bool failed, Instant now);
    void retryOrFail(ActiveRequest active, bool retryAllowed, Instant now);
    void queueRequest(const QueuedRequest &request, Instant now);
    void giveUp(const QueuedRequest &request, ResultCode code, const std::string &reason);
    void collectRefusals();
    bool hasUpstream(const RoutingRequest &request, Instant now) const;

    UpstreamTable &m_table;
    PrefixIndex &m_prefixes;
    RoutingPolicy &m_policy;
    DispatcherSettings m_settings;
    Admission m_admission;
    RetryBudget m_retries;
    std::map<std::uint64_t, ActiveRequest> m_active;
    std::map<std::uint64_t, bool> m_resumes; // queued for a retry: whether an answer had begun
    std::vector<DispatchAction> m_actions;
};

} // namespace burdock
