// Serves one request of a caller, from its arrival to its final answer.
//
// Order of things: decode, find the route, let the scheduler choose a replica, make the attempt,
// let the rules in serving/attemptpolicy.h say what follows. Whole answers are read before the
// caller gets a byte; streams are passed on event by event, and go on at another replica where the
// route allows.
//
// Silent replicas. A replica that sends nothing for a while may be about to go on, or hang for
// good. A request that may run twice is sent to a second replica then, if there is one with room
// and the retry budget has a token. The first attempt goes on until the second one's answer has
// begun, so that nothing is lost if the second replica refuses, fails or is silent, too.
#pragma once

#include "edge/beatlink.h"
#include "edge/nodestate.h"
#include "net/awaitedvalue.h"
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

    /// An organisation's quota was spent; the others are told as soon as they need to know.
    virtual void announceSpending() = 0;
};

class RequestFlow
{
public:
    /// @param state, request, reply outlive the flow
    RequestFlow(NodeState &state, NodeAnnouncer &announcer, const HttpRequest &request,
                HttpReply &reply);

    ~RequestFlow();
    RequestFlow(const RequestFlow &) = delete;
    RequestFlow &operator=(const RequestFlow &) = delete;

    /// Serves the request.
    boost::asio::awaitable<void> run();

    /// The process ends: gives up what has not begun to be answered, with its final answer.
    void giveUp();

    /// Refuses the request if it waits for a replica and is refused by now.
    void refuseIfSuspect();

    /// Sends the request to a second replica if the first has been silent for too long.
    void checkSilence(Instant now);

private:
    /// One send to a replica, from the choice of the replica to the end of its answer.
    struct Attempt : public SendCheck
    {
        Attempt(RequestFlow &owner, StartRequest chosen)
            : flow(owner)
            , start(std::move(chosen))
        {
        }
        bool mayStillSend() override { return flow.mayStillSend(*this); }

        RequestFlow &flow;
        StartRequest start;
        std::shared_ptr<HttpExchange> exchange;
        std::optional<HttpResponseHead> head; // of an answer that may go to the caller
        Instant sentAt;
        Instant progressAt;               // when it last brought the request forward
        SuspectRun run;                   // as the search for crashing requests counts it
        bool isRunCounted = false;        // by that search
        bool isSent = false;              // a byte of it may have left
        bool isDropped = false;           // its answer is not needed any more
        bool awaitsHead = true;           // its limit counts it as unanswered
        bool firstByteSeen = false;       // of the answer's content
        bool connectionBroke = false;     // it ended with its connection
        bool keptConnectionBroke = false; // the same, on a kept one before the head of the answer
        bool endedWithConnection = false; // the answer is whole unless the replica ended with it
        bool isProof = false;             // the answer is whole and a success
        const char *withheld = "";        // why nothing was sent
        std::string failure;              // what ended it, as the connection told it
        const char *delimiter = "";       // of the answer's body; for the log
        std::string replicaLimit;         // that the answer stated; for the log
        std::size_t unfinishedBytes = 0;  // of an event at the end of the stream; for the log
    };

    /// An answer of a replica, kept until it is known whether the caller gets it.
    struct StoredAnswer
    {
        HttpResponseHead head;
        std::string body;
        std::unique_ptr<BodyHold> hold; // counts the body until it was sent
    };

    /// A head that may go to the caller, or how the attempt ended without one.
    using OpenResult = std::variant<HttpResponseHead, AttemptResult>;

    bool findRoute();
    /// Finds the organisation that the caller's key belongs to, in the configuration in force.
    void identifyCaller();
    /// @return whether the configuration in force lets the caller's organisation use the route
    bool isAuthorized() const;
    /// @return whether the request was refused because of its key
    boost::asio::awaitable<bool> refusedByKey();
    /// @return whether the request was refused because it is beyond its organisation's quota
    boost::asio::awaitable<bool> refusedByQuota();
    void buildRequest();
    int urgency() const;
    boost::asio::awaitable<void> serve();
    /// @return how the request ends when no further attempt is made
    NextStep finalStep() const;
    /// @return false: it was taken back, since another node's goes before or nobody needs it now
    boost::asio::awaitable<bool> claimPrompt(const StartRequest &start);
    /// Makes an attempt, and goes over to the second one if that answers first.
    boost::asio::awaitable<AttemptResult> makeAttempt(StartRequest start);
    std::unique_ptr<Attempt> beginAttempt(StartRequest start);
    /// Sends the request and reads the head of the answer.
    boost::asio::awaitable<OpenResult> open(Attempt &attempt);
    boost::asio::awaitable<OpenResult> takeHead(Attempt &attempt, HttpResponseHead head);
    boost::asio::awaitable<AttemptResult> receive(Attempt &attempt);
    /// Counts the end of the attempt wherever its send was counted.
    boost::asio::awaitable<void> closeAttempt(Attempt &attempt, AttemptResult end);
    void startSecond(StartRequest start);
    boost::asio::awaitable<void> runSecond();
    bool isSecondUseful(const HttpResponseHead &head) const;
    bool isSuperseded() const { return m_second && m_second->head; }
    void dropSecond();
    /// Reads the rest of an answer that is not needed, so that the connection can be used again;
    /// closes the connection if that takes too long.
    boost::asio::awaitable<void> discardBody(Attempt &attempt);
    boost::asio::awaitable<AttemptResult> takeWhole(Attempt &attempt);
    /// Sends a whole answer, whose memory counts until the caller has taken it.
    boost::asio::awaitable<bool> sendWhole(StoredAnswer answer);
    boost::asio::awaitable<AttemptResult> takeStream(Attempt &attempt);
    boost::asio::awaitable<bool> passEvents(const HttpResponseHead &head,
                                            std::vector<StreamEvent> events);
    boost::asio::awaitable<bool> beginStream(const HttpResponseHead &head);
    void noteFirstByte(Attempt &attempt);
    /// The replica is not silent: it has sent a part of an answer that the caller may get.
    void noteProgress(Attempt &attempt);
    void takeSignals(const Attempt &attempt, const ReplicaAnswer &answer);
    void noteHead(Attempt &attempt);
    AttemptResult endOf(const CallFailure &failure) const;
    void noteEnd(const Attempt &attempt, AttemptResult end);
    /// @return whether the request must not be sent now; it has got its answer then
    boost::asio::awaitable<bool> refusedAsSuspect();
    /// Tells the search for what crashes replicas how the run ended.
    boost::asio::awaitable<void> endRun(Attempt &attempt, AttemptResult end);
    bool isExpectedEnd(const StartRequest &start) const;
    Instant patienceEnd(const Attempt &attempt) const;
    bool mayTryAnother() const;
    bool mayStillSend(Attempt &attempt);
    void cancelAttempts();

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
    std::optional<Organisation> m_organisation; // that the caller's key belongs to; without keys
    double m_takenQuota = 0.0;                  // of the organisation's quota, for this request
    ServingRequest m_request;
    RequestProgress m_progress;
    std::vector<SuspectKey> m_keys; // of what may crash a replica
    std::vector<std::string> m_excluded;
    std::unique_ptr<Attempt> m_attempt; // current one; stays for the log when it has ended
    std::unique_ptr<Attempt> m_second;  // sent while the current one is silent
    AwaitedValue<bool> m_secondEnded;   // or its head has arrived
    /// The current attempt counts as silent from then on, until it makes progress.
    Instant m_silentFrom = Instant::max();
    std::optional<StoredAnswer> m_errorAnswer;
    std::optional<std::uint64_t> m_lastEvent; // passed on to the caller
    Instant m_arrived;
    std::string m_failure; // why no attempt was made; for the log
    bool m_callerLeft = false;
    bool m_givenUp = false;
    Duration m_firstByteAfter {}; // of the whole request; for the log
    Duration m_longestGap {};     // between events; for the log
    Instant m_lastEventAt;
    bool m_keptFailed = false; // a kept connection was found dropped: open a new one
};

/// @return the keys in hexadecimal, for the log
std::string keysText(const std::vector<SuspectKey> &keys);

/// Refuses the requests that wait for a replica and are refused by now.
void refuseSuspects(NodeState &state);

/// Sends the requests at silent replicas to second ones. Call it several times a second.
void checkSilentAttempts(NodeState &state);

/// The process ends: every request that has not begun to be answered gets its final answer, those
/// that wait for a replica a refusal.
/// @param reason of the refusals
void giveUpAll(NodeState &state, const char *reason, std::chrono::milliseconds retryAfter);

} // namespace burdock
