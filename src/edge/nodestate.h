// What a node knows and does, as plain members that its parts share.
#pragma once

#include "decide/retrybudget.h"
#include "edge/eventlog.h"
#include "edge/nodeprofile.h"
#include "edge/ports.h"
#include "edge/waitingrequests.h"
#include "fleet/nodedirectory.h"
#include "net/httpclient.h"
#include "net/metrics.h"
#include "organisations/keytable.h"
#include "organisations/quotaledger.h"
#include "placing/copyplacement.h"
#include "serving/processingdelay.h"
#include "serving/promptclaims.h"
#include "serving/replicachooser.h"
#include "serving/scheduler.h"
#include "serving/servingconfig.h"
#include "suspects/suspectshell.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace burdock {

/// The platform that the node runs on; its parts outlive the node.
struct PlatformPorts
{
    ObjectStore &store;
    ObjectDecoder &decoder;
    RequestDialect &dialect;
    EngineControl &engines;
};

/// Tokens that callers asked of each model, for the placement.
class CopyDemandMeter
{
public:
    void count(const std::string &service, const std::string &model, const std::string &adapter,
               int tokens);

    /// Smooths what was counted since the last call.
    /// @param elapsed time since then
    void update(Duration elapsed);

    struct Row
    {
        std::string service;
        std::string model;
        std::string adapter;
        double counted = 0.0;
        double perSecond = 0.0;
    };

    /// @return tokens a second by service, model and adapter; those without any are left out
    const std::map<std::string, Row> &rows() const { return m_rows; }

private:
    std::map<std::string, Row> m_rows;
};

class RequestFlow;

/// The answer of a replica that signals came with.
struct SignalSource
{
    std::string replica;
    std::uint64_t startedMs = 0; // start of its process, as known when the request was sent
    Instant sentAt;              // when the request was sent
    std::string request;         // name of the caller's request; empty: an order or report request
};

struct NodeState : private SuspectFleet, private ConnectionView
{
    NodeState(boost::asio::io_context &context, NodeProfile nodeProfile, PlatformPorts platform);

    /// @return the budget for sends beyond the first to a service
    RetryBudget &budgetOf(const std::string &service);

    /// @return whether requests that arrive now are refused, because the process is about to end
    bool refuses(Instant now) const { return refuseFrom != Instant {} && now >= refuseFrom; }

    /// @return how long ago the configuration in force was last known to be the newest
    Duration configAge(Instant now) const
    {
        return configKnownAt ? now - configKnownAt() : Duration::zero();
    }

    /// Takes the news of a copy into the table of replicas.
    void takeCopyChange(const AnnounceCopyChange &change);

    /// Takes what a replica says of itself: that it leaves, wants a pause or limits its requests.
    /// @return news of its limit for the other nodes, if any
    std::optional<LimitNote> takeSignals(const ReplicaSignals &signals, const SignalSource &source);

    /// Takes only the pause that a replica asks for.
    void takePause(const ReplicaSignals &signals, const SignalSource &source);

    /// Takes another node's news of a replica's limit.
    void takeLimitNote(const LimitNote &note);

    /// Removes a replica from the table, at once or after a grace period, and forgets it with it.
    /// @param storeReturnedAt see ReplicaTable::onDelisted()
    /// @param reason for the log
    void removeReplica(const std::string &id, Instant storeReturnedAt, const char *reason);

    /// Drops what is known of a replica that the table no longer has, in all places that keep
    /// something by replica.
    /// @param generation ReplicaRow::generation of its row
    /// @param reason for the log
    void forgetReplica(const std::string &id, std::uint64_t generation, const char *reason);

    /// Takes a configuration, unless it is older than the one in force or the same.
    void applyConfig(ServingConfig config);

    boost::asio::io_context &io;
    NodeProfile profile;
    PlatformPorts ports;
    std::uint64_t started; // Unix milliseconds; names this process among those of the node
    EventLog log;
    Metrics metrics;
    HttpClient replicasHttp; // requests to replicas
    std::shared_ptr<const ServingConfig> config;
    std::unique_ptr<RouteTable> routes;
    std::unique_ptr<RankTable> ranks;
    std::unique_ptr<KeyTable> keys;         // null: requests need no key
    std::function<Instant()> configKnownAt; // when the store was last known to have this version
    std::uint64_t keySeed;                  // of the hashes of keys; secret
    QuotaLedger quotas;
    ReplicaTable replicas;
    ReplicaChooser chooser;
    RequestScheduler scheduler;
    WaitingRequests waiting;
    SuspectShell suspects; // what crashes replicas
    PromptClaims claims;
    ProcessingDelay delay;
    CopyDemandMeter demand;
    NodeDirectory directory;
    Random random;
    std::set<RequestFlow *> flows; // requests under way
    bool leaving = false;          // a stop was asked for
    Instant refuseFrom;            // of a stop: later requests might not end before the process
    std::uint64_t lastRequestId = 0;
    BodyMemory answerMemory; // of whole answers, until their callers have taken them

    /// Called with notes for the other nodes, see SuspectFleet::sendSuspectNotes().
    std::function<void(const std::vector<SuspectNote> &, bool toAll)> onSuspectNotes;

    /// Called when a replica was forgotten, so that the placement does not count its copies.
    std::function<void(const std::string &replica)> onReplicaForgotten;

    /// Called when a process of a replica said for the first time that it is about to terminate.
    std::function<void(const std::string &replica, std::uint64_t startedMs)> onReplicaLeaving;

private:
    bool hasIdleConnection(const std::string &address) const override;
    bool isOwner(std::uint64_t key, Instant now) const override;
    void sendSuspectNotes(const std::vector<SuspectNote> &notes, bool toAll) override;
    void onRefusalsChanged() override;
    void logVerdict(const RunVerdict &verdict) override;
    void logSuspect(const SuspectNote &note, bool isRefused, const char *source) override;

    std::optional<LimitNote> takeLimit(const ReplicaSignals &signals, const SignalSource &source);
    void logProblems();
    void logLimit(const std::string &replica, std::optional<double> limit,
                  const std::string &request);

    std::map<std::string, RetryBudget> m_budgets;
};

} // namespace burdock
