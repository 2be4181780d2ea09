// burdock-node: one process on each VM that takes callers, routes, and may hold the placement.
//
// Index
//   CallerHandler, DirectoryHandler, ReadinessHandler, MetricsHandler   what each address answers
//   EdgeProgram                                                         the whole process
#pragma once

#include "edge/beatlink.h"
#include "edge/changefeed.h"
#include "edge/copyshell.h"
#include "edge/nodestate.h"
#include "edge/requestflow.h"
#include "edge/storewatch.h"
#include "net/eventloop.h"
#include "net/httpserver.h"

#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <optional>

namespace burdock {

/// Serves callers' requests.
class CallerHandler : public HttpHandler
{
public:
    CallerHandler(NodeState &state, NodeAnnouncer &announcer);
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    NodeState &m_state;
    NodeAnnouncer &m_announcer;
};

/// Tells callers which addresses to use.
class DirectoryHandler : public HttpHandler
{
public:
    explicit DirectoryHandler(NodeState &state);
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    NodeState &m_state;
};

/// Tells whether this node takes callers.
class ReadinessHandler : public HttpHandler
{
public:
    explicit ReadinessHandler(NodeState &state);
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    NodeState &m_state;
};

/// Counters and latencies for operators.
class MetricsHandler : public HttpHandler
{
public:
    MetricsHandler(NodeState &state, const FollowedStore &followed);
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

private:
    NodeState &m_state;
    const FollowedStore &m_followed;
};

class EdgeProgram : private BeatListener, private StoreListener, private NodeAnnouncer
{
public:
    /// @param io does no work any more once the program is destroyed
    /// @param rereadSettings called when the settings may have changed
    EdgeProgram(EventLoop &io, NodeProfile profile, PlatformPorts ports,
                std::function<void(EventLog &)> rereadSettings);

    /// Listens on all addresses and starts the work.
    Result<Done> start();

private:
    void onPeerMessage(const PeerMessage &message, const std::string &sender) override;
    void onHeartbeat(const BeatMessage &message);
    void onList(ObjectKind kind, const std::vector<StoredItem> &items) override;
    void onChanges(ObjectKind kind, const std::vector<StoredItem> &items) override;
    bool announcePrompt(const PromptNote &note) override;
    boost::asio::awaitable<void> announceLoss(BrokenRun run, Endpoint replica) override;
    void announceLimit(const LimitNote &note) override;
    void announceSpending() override;

    void takeConfig(const StoredItem &item);
    void takeReplica(const StoredItem &item, Instant now);
    void dropReplica(const std::string &id, Instant storeReturnedAt, Instant now);
    void noteEra(std::uint64_t era);
    boost::asio::awaitable<void> registerNode();
    boost::asio::awaitable<void> findNodes();

    void noteDelay(Instant now);
    void tick();
    /// Logs the use of the busiest quotas from time to time.
    void logQuotas(Instant now);
    BeatMessage ownBeat() const;
    void measureServer();
    void sendBeat();
    void sendSuspectNotes(const std::vector<SuspectNote> &notes,
                          const std::vector<std::string> &addresses);
    std::vector<std::string> nextIngressAddresses(std::size_t count);
    void measureRequests(Duration elapsed);
    std::vector<CopyDemand> demandNow() const;
    void awaitSignal();
    void beginStop();
    void continueStop();
    void end();

    NodeState m_state;
    std::function<void(EventLog &)> m_rereadSettings;
    BeatLink m_link;
    CopyShell m_copies;
    HttpClient m_feedHttp;
    FollowedStore m_followed;
    StoreWatch m_configWatch;
    StoreWatch m_replicaWatch;
    CallerHandler m_callerHandler;
    DirectoryHandler m_directoryHandler;
    ReadinessHandler m_readinessHandler;
    MetricsHandler m_metricsHandler;
    HttpServer m_callers;
    HttpServer m_directory;
    HttpServer m_readiness;
    HttpServer m_metricsServer;
    HttpServer m_feedServer;
    DemandReporter m_demandReport;
    std::uint64_t m_demandTerm = 0; // of the holder that the reports go to
    std::uint64_t m_holderTerm = 0; // that the latest heartbeat named
    boost::asio::signal_set m_signals;
    boost::asio::steady_timer m_tickTimer;
    Instant m_nextBeat;
    Instant m_nextQuotaLog;
    Instant m_nextSilenceCheck;
    Instant m_nextTick;      // when the timer is due
    bool m_isBehind = false; // events wait for long until they are handled
    Instant m_lastDemand;
    std::size_t m_nextNoteTarget = 0; // index of the ingress node that gets the next repeated notes
    double m_requestRate = 0.0;       // of callers, a second, smoothed
    std::uint64_t m_requestsMeasured = 0; // counted in it
    std::uint64_t m_attemptsMeasured = 0; // counted in it
    Instant m_nextFind;
    std::optional<std::uint64_t> m_storeEra; // nothing: nothing has been listed yet
    Instant m_registerAt;                    // this node's entry is to be written then; zero: never
    Instant m_closeAt;                       // stopping: callers have moved on by then
    bool m_closeNoted = false;
    Instant m_giveUpAt; // stopping: what has not begun to be answered gets its final answer
    Instant m_endBy;    // stopping: the process ends at the latest
    WorkEnd m_workEnd;  // last: coroutines refer to the other members
};

} // namespace burdock
