// The entry node's side of the at-most-once ledger: one attempt for each caller's request.
//
// Index
//   OrderClientSettings   limits and intervals
//   RunOrder              action: send the order to an upstream, once
//   RespondToCaller       action: respond for an attempt that has no upstream response to relay
//   OrderAttempt          state of one attempt
//   OrderClient           the decision module: events and ticks go in, actions come out
//
// Phases of an attempt
//   begin()            Waiting: Admits are sent to the shard's owner until it replies or the
//                      deadline passes
//   Granted            Running: RunOrder is emitted once; the caller of this module must
//                      then call exactly one of onAnswered(), onLost() and onNotSent()
//   onAnswered/onLost  Reporting: the outcome is resent until the owner has recorded it
//   OutcomeAck         the attempt is removed
// An attempt that is abandoned before RunOrder is removed at once, is never sent, and its caller
// receives the verdict NotRun. Its Release may be lost. The owner then sends a reminder, and a
// reminder for an attempt that this process does not know triggers another Release. This is safe
// because an attempt that was sent is not removed before its outcome is recorded.
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
    unsigned shards = 16;                             // must equal LedgerSettings::shards
    std::chrono::milliseconds resendInterval { 300 }; // time until a message is resent
    std::chrono::milliseconds retryAfter { 2'000 };   // delay suggested to callers that may retry
    std::size_t maxAttempts = 8'192;                  // begin() ends further attempts as NotRun
    std::size_t maxRecordedBodyBytes = 16 * 1024;     // larger response bodies are not stored
};

// ---- Actions ------------------------------------------------------------------------------------

struct RunOrder
{
    std::string attempt; // as returned by begin()
    OrderKey order;      // as given to begin()
};

enum class OrderVerdict {
    NotRun,         // the attempt has not run the order and never will; retry after `retryAfter`
    InProgress,     // another attempt holds the grant
    OutcomeUnknown, // the order was sent and may have run; no response arrived
    Recorded,       // the order ran earlier; `answer` holds the recorded response
    KeyReused,      // the key was used with another request; nothing was run
};

struct RespondToCaller
{
    std::string attempt;                         // as returned by begin()
    OrderVerdict verdict = OrderVerdict::NotRun; // result to report to the caller
    RecordedAnswer answer;                       // for OrderVerdict::Recorded
    std::chrono::milliseconds retryAfter { 0 };  // for NotRun and InProgress
};

using OrderAction = std::variant<SendToNode, RunOrder, RespondToCaller>;

// ---- State --------------------------------------------------------------------------------------

enum class AttemptPhase { Waiting, Running, Reporting };

struct OrderAttempt
{
    OrderKey order;
    std::uint64_t fingerprint = 0; // hash of the request
    AttemptPhase phase = AttemptPhase::Waiting;
    Instant sendDeadline {}; // Waiting: the attempt is abandoned at this time
    Instant resendAt {};     // Waiting, Reporting: the next resend of Admit or Outcome
    std::string owner;       // node that messages are sent to
    Outcome outcome;         // Reporting: the message that is resent
};

// ---- Client -------------------------------------------------------------------------------------

class OrderClient
{
public:
    /// @param self identity of this process, the same as for Ledger
    OrderClient(NodeIdentity self, OrderClientSettings settings);

    // Events

    /// The set of live nodes changed; it determines the owner of each shard.
    void onLiveNodes(const std::vector<NodeIdentity> &live, Instant now);

    /// Starts an attempt.
    /// @param fingerprint hash of everything that identifies the request
    /// @param sendDeadline the order is not sent at or after this time
    /// @return the attempt's name, which is unique in the fleet
    std::string begin(const OrderKey &order, std::uint64_t fingerprint, Instant sendDeadline,
                      Instant now);

    /// The caller disconnected. The attempt is removed unless RunOrder has been emitted for it.
    void onCallerLeft(const std::string &attempt);

    /// The upstream responded. The response itself is relayed by the caller of this module.
    void onAnswered(const std::string &attempt, RecordedAnswer answer, Instant now);

    /// Bytes were sent, or may have been sent, and no complete response arrived.
    void onLost(const std::string &attempt, Instant now);

    /// No byte was sent, for example because the connection was refused.
    void onNotSent(const std::string &attempt);

    /// A message from the owner of a shard: AdmitReply, NotOwner or OutcomeAck. Others are ignored.
    void onMessage(const LedgerMessage &message, Instant now);

    /// Resends messages that are due and abandons attempts whose deadline has passed.
    void tick(Instant now);

    /// @return the actions since the last call, in the order in which to carry them out
    std::vector<OrderAction> takeActions();

    /// @return the attempts of this process, by name
    const std::map<std::string, OrderAttempt> &attempts() const { return m_attempts; }

private:
    std::string ownerOf(const OrderKey &order) const;
    bool isFromThisProcess(const std::string &attempt) const;
    void send(const std::string &name, OrderAttempt &attempt, Instant now);
    void sendRelease(const std::string &owner, const OrderKey &order, const std::string &attempt);
    void abandon(const std::string &name, OrderVerdict verdict,
                 std::chrono::milliseconds retryAfter);
    void report(const std::string &name, OrderState state, RecordedAnswer answer, Instant now);
    void onAdmitReply(const AdmitReply &reply, Instant now);
    void onNotOwner(const NotOwner &message, Instant now);

    NodeIdentity m_self;
    OrderClientSettings m_settings;
    std::string m_prefix; // prefix of the attempt names of this process
    std::uint64_t m_lastAttempt = 0;
    std::vector<std::string> m_preferredOwners; // preferred owner of each shard
    std::map<std::string, OrderAttempt> m_attempts;
    std::vector<OrderAction> m_actions;
};

} // namespace burdock
