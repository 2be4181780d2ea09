// The entry node's side of the at-most-once ledger: one attempt per caller's request.
//
// Index
//   OrderClientSettings   bounds and intervals
//   RunOrder              action: send the order to an upstream, now and once
//   AnswerCaller          action: the final word on an attempt that got no answer of its own
//   OrderAttempt          row of the table of attempts
//   OrderClient           the system: events in, tick, actions out
//
// The life of an attempt
//   begin()            Waiting: the shard's owner is asked until it replies or time is up
//   Granted            Running: RunOrder is given out once; the shell reports exactly one of
//                      onAnswered(), onLost(), onNotSent()
//   onAnswered/onLost  Reporting: the outcome is repeated until the owner has recorded it
//   OutcomeAck         forgotten
// An attempt that is given up before RunOrder is forgotten at once, is never used again, and its
// caller is told "not run". The Release that goes with it may be lost: the owner reminds, and a
// reminder of an attempt that this process does not know is answered with a Release. This is safe
// because an attempt that was sent is never forgotten before its outcome is recorded.
//
// Example: tests/decide/test_orderclient.cpp
#pragma once

#include "base/instant.h"
#include "decide/ledgermessages.h"

#include <map>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Settings -----------------------------------------------------------------------------------

struct OrderClientSettings
{
    unsigned shards = 16;                             // as in LedgerSettings
    std::chrono::milliseconds resendInterval { 300 }; // between repeats of an unanswered message
    std::chrono::milliseconds retryAfter { 2'000 };   // told to callers that may come back
    std::size_t maxAttempts = 8'192;                  // attempts at once; above it "not run"
    std::size_t answerBytes = 16 * 1024;              // larger answer bodies are not kept
};

// ---- Actions ------------------------------------------------------------------------------------

struct RunOrder
{
    std::string attempt; // as returned by begin()
    OrderKey order;      // as given to begin()
};

enum class OrderVerdict {
    NotRun,         // not run by this attempt, and never will be; come back after `retryAfter`
    InProgress,     // another attempt holds the order
    OutcomeUnknown, // sent, perhaps run, no answer came
    Recorded,       // run before; see `answer`
    KeyReused,      // the key belongs to another request; nothing was run
};

struct AnswerCaller
{
    std::string attempt;                         // as returned by begin()
    OrderVerdict verdict = OrderVerdict::NotRun; // what to tell
    RecordedAnswer answer;                       // for Recorded
    std::chrono::milliseconds retryAfter { 0 };  // for NotRun and InProgress
};

using OrderAction = std::variant<SendToNode, RunOrder, AnswerCaller>;

// ---- Table --------------------------------------------------------------------------------------

enum class AttemptPhase { Waiting, Running, Reporting };

struct OrderAttempt
{
    OrderKey order;                             // which order
    std::uint64_t fingerprint = 0;              // hash of the request
    AttemptPhase phase = AttemptPhase::Waiting; // how far it is
    Instant giveUpAt {};                        // Waiting: then "not run"
    Instant resendAt {};                        // next repeat of Admit or Outcome
    std::string owner;                          // who is asked
    Outcome outcome;                            // Reporting: what is reported
};

// ---- System -------------------------------------------------------------------------------------

class OrderClient
{
public:
    /// @param self this process, the same identity as in Ledger
    OrderClient(NodeIdentity self, OrderClientSettings settings);

    // Events

    /// The live nodes changed; they decide which node is asked for which shard.
    void onLiveNodes(const std::vector<NodeIdentity> &live, Instant now);

    /// Starts an attempt.
    /// @param fingerprint hash of everything that makes the request what it is
    /// @param giveUpAt from then on the attempt is not sent any more
    /// @return the attempt's name, unique in the fleet
    std::string begin(const OrderKey &order, std::uint64_t fingerprint, Instant giveUpAt,
                      Instant now);

    /// The caller left. An order that was handed to RunOrder goes on regardless.
    void onCallerLeft(const std::string &attempt);

    /// The upstream answered; the shell passes the answer to the caller itself.
    void onAnswered(const std::string &attempt, RecordedAnswer answer, Instant now);

    /// Bytes were sent, or may have been, and no whole answer came.
    void onLost(const std::string &attempt, Instant now);

    /// Not one byte was sent, e.g. the connection was refused.
    void onNotSent(const std::string &attempt);

    /// A message of the ledger for this side: AdmitReply, NotOwner or OutcomeAck.
    void onMessage(const LedgerMessage &message, Instant now);

    void tick(Instant now);

    std::vector<OrderAction> takeActions();

    /// @return attempts by name
    const std::map<std::string, OrderAttempt> &attempts() const { return m_attempts; }

private:
    std::string ownerOf(const OrderKey &order) const;
    bool isOwn(const std::string &attempt) const;
    void send(const std::string &name, OrderAttempt &attempt, Instant now);
    void sendRelease(const std::string &owner, const OrderKey &order, const std::string &attempt);
    void giveUp(const std::string &name, OrderVerdict verdict,
                std::chrono::milliseconds retryAfter);
    void report(const std::string &name, OrderState state, RecordedAnswer answer, Instant now);
    void onReply(const AdmitReply &reply, Instant now);
    void onNotOwner(const NotOwner &message, Instant now);

    NodeIdentity m_self;
    OrderClientSettings m_settings;
    std::string m_prefix; // of the names of this process's attempts
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::string> m_owners; // preferred owner of each shard
    std::map<std::string, OrderAttempt> m_attempts;
    std::vector<OrderAction> m_actions;
};

} // namespace burdock
