// Serves one request of a caller, from its arrival to its final answer.
//
// Order of things: decode, find the route, let the scheduler choose a replica, make the attempt,
// let the rules in serving/attemptpolicy.h say what follows. Whole answers are read before the
// caller gets a byte; streams are passed on event by event, and go on at another replica where the
// route allows.
#pragma once

#include "edge/beatlink.h"
#include "edge/nodestate.h"
#include "net/eventstream.h"
#include "net/httpserver.h"
#include "serving/attemptpolicy.h"

namespace burdock {

/// Tells the other nodes what they cannot see.
class NodeAnnouncer
{
public:
    virtual ~NodeAnnouncer() = default;

    /// A replica is about to be sent a prompt to read.
    /// @return whether there is another node that could do the same
    virtual bool announcePrompt(const PromptNote &note) = 0;

    /// The connection of a run ended before its answer or, if run.isAnswered, with it. Returns when
    /// the request may go to another replica.
    virtual boost::asio::awaitable<void> announceLoss(BrokenRun run, Endpoint replica) = 0;

    /// A replica stated a limit on the requests of all nodes together, or lifted it.
    virtual void announceLimit(const LimitNote &note) = 0;
};

class RequestFlow : private SendCheck
{
public:
    /// @param state, request, reply outlive the flow
    RequestFlow(NodeState &state, NodeAnnouncer &announcer, const HttpRequest &request,
                HttpReply &reply);

    ~RequestFlow() override;
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /// Serves the request.
    boost::asio::awaitable<void> run();

    /// The process ends: gives up what has not begun to be answered, with its final answer.
    void giveUp();

    /// Refuses the request if it waits for a replica and is refused by now.
    void refuseIfSuspect();

private:
    /// An answer of a replica, kept until it is known whether the caller gets it.
    struct StoredAnswer
    {
        HttpResponseHead head;
        std::string body;
    };

    bool findRoute();
    void buildRequest();
    boost::asio::awaitable<void> serve();
    /// @return how the request ends when no further attempt is made
    NextStep finalStep() const;
    /// @return false: it was taken back, since another node's goes before or nobody needs it now
    boost::asio::awaitable<bool> claimPrompt(const StartRequest &start);
    boost::asio::awaitable<AttemptResult> attempt(const StartRequest &start);
    boost::asio::awaitable<AttemptResult> exchangeOnce(const StartRequest &start);
    /// @return the rest of the replica's answer; nothing when it does not come whole
    boost::asio::awaitable<std::optional<std::string>> readWholeBody();
    /// Reads the rest of an answer that is not needed, so that the connection can be used again;
    /// closes the connection if that takes too long.
    boost::asio::awaitable<void> discardBody();
    boost::asio::awaitable<AttemptResult> takeWhole(const HttpResponseHead &head);
    boost::asio::awaitable<AttemptResult> takeStream(const HttpResponseHead &head,
                                                     const StartRequest &start);
    boost::asio::awaitable<bool> passEvents(const HttpResponseHead &head,
                                            std::vector<StreamEvent> events);
    boost::asio::awaitable<bool> beginStream(const HttpResponseHead &head);
    void noteFirstByte(const StartRequest &start);
    void takeSignals(const StartRequest &start, const ReplicaAnswer &answer);
    void noteHead(const StartRequest &start);
    AttemptResult endOf(const CallFailure &failure) const;
    void noteEnd(const StartRequest &start, AttemptResult end);
    /// @return whether the request must not be sent now; it has got its answer then
    boost::asio::awaitable<bool> refusedAsSuspect();
    /// Tells the search for what crashes replicas how the run ended.
    boost::asio::awaitable<void> endRun(const StartRequest &start, AttemptResult end);
    bool isExpectedEnd(const StartRequest &start) const;
    Instant firstByteDeadline(const StartRequest &start) const;
    bool mayTryAnother() const;
    bool mayStillSend() override;

    boost::asio::awaitable<void> answerOwn(int status, std::chrono::milliseconds retryAfter,
                                           const char *outcome, std::string reason);
    boost::asio::awaitable<void> finish(NextStep step, AttemptResult end);
    void onCallerLeft();
    void logDone(const char *outcome, int status, const std::string &reason);

    NodeState &m_state;
    NodeAnnouncer &m_announcer;
    const HttpRequest &m_raw;
    HttpReply &m_reply;
    std::shared_ptr<const ServingConfig> m_config; // keeps the route
    const ServingRoute *m_route = nullptr;
    CallerRequest m_caller;
    ServingRequest m_request;
    RequestProgress m_progress;
    std::vector<SuspectKey> m_keys; // of what may crash a replica
    SuspectRun m_run;               // of the current attempt
    bool m_isRunCounted = false;    // it was sent
    std::vector<std::string> m_excluded;
    std::shared_ptr<HttpExchange> m_exchange;
    const StartRequest *m_start = nullptr; // of the current attempt
    const char *m_withheld = "";           // why it sent nothing
    std::optional<StoredAnswer> m_errorAnswer;
    std::optional<std::uint64_t> m_lastEvent; // passed on to the caller
    Instant m_arrived;
    Instant m_sentAt;
    std::string m_failure;             // what ended the last attempt, as the connection told it
    const char *m_delimiter = "";      // of the last answer's body; for the log
    std::string m_replicaLimit;        // that the last answer stated; for the log
    std::size_t m_unfinishedBytes = 0; // of an event at the end of the last stream; for the log
    bool m_awaitsHead = false;         // in the current attempt; its limit counts it as unanswered
    bool m_firstByteSeen = false;      // in the current attempt
    bool m_hasAlternative = false;     // another replica could have been chosen for it
    bool m_callerLeft = false;
    bool m_givenUp = false;
    Duration m_firstByteAfter {}; // of the whole request; for the log
    Duration m_longestGap {};     // between events; for the log
    Instant m_lastEventAt;
    bool m_keptFailed = false;          // a kept connection was found dropped: open a new one
    bool m_connectionBroke = false;     // the current attempt ended with its connection
    bool m_keptConnectionBroke = false; // the same, on a kept one before the head of the answer
    bool m_endedWithConnection = false; // the answer is whole unless the replica ended with it
    bool m_isProof = false;             // the answer is whole and a success
};

/// @return the keys in hexadecimal, for the log
std::string keysText(const std::vector<SuspectKey> &keys);

/// Refuses the requests that wait for a replica and are refused by now.
void refuseSuspects(NodeState &state);

/// The process ends: every request that has not begun to be answered gets its final answer, those
/// that wait for a replica a refusal.
/// @param reason of the refusals
void giveUpAll(NodeState &state, const char *reason, std::chrono::milliseconds retryAfter);

} // namespace burdock
