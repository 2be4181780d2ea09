// Runs one idempotent request: attempts at upstreams, until it is answered or given up.
//
// Index
//   RequestRun   the loop; what an attempt does is up to the class derived from it
//
// Order of things: the dispatcher chooses an upstream, the quarantine permits the run, the attempt
// is made, its end is reported to both. What is given up gets its final answer at once.
#pragma once

#include "entry/relay.h"
#include "entry/serviceproxy.h"

namespace burdock {

class RequestRun
{
public:
    /// @param fingerprint from requestFingerprint(): names the request, whoever sends it
    RequestRun(EntryState &state, const ServiceCall &call, QueuedRequest queued,
               std::uint64_t fingerprint, HttpReply &reply);
    virtual ~RequestRun() = default;
    RequestRun(const RequestRun &) = delete;
    RequestRun &operator=(const RequestRun &) = delete;

    /// Runs the request and answers the caller.
    boost::asio::awaitable<void> run();

protected:
    /// @param parts hashes of the parts of the prompt, in order
    void setPromptParts(const std::vector<std::uint64_t> &parts);

    /// Makes one attempt and, when it succeeds, answers the caller.
    virtual boost::asio::awaitable<AttemptEnd> attempt(const SendRequest &send) = 0;

    /// Gives the caller its final answer after the last attempt.
    virtual boost::asio::awaitable<void> giveUp(const Error &error,
                                                std::chrono::milliseconds retryAfter);

    /// @return whether another attempt may succeed
    virtual bool mayRetry() const { return true; }

    /// Notes that the answer has begun.
    void noteFirstByte(const SendRequest &send);

    /// @return the exchange for an attempt, which a caller that leaves cancels
    std::shared_ptr<HttpExchange> openExchange(const SendRequest &send);

    /// @return the name under which upstreams know the request
    const std::string &requestName() const { return m_requestName; }

    EntryState &m_state;
    const ServiceCall &m_call;
    QueuedRequest m_queued;
    HttpReply &m_reply;

private:
    boost::asio::awaitable<void> runAttempts();
    boost::asio::awaitable<bool> permitted(const SendRequest &send);
    boost::asio::awaitable<bool> refusedAsSuspect();
    boost::asio::awaitable<void> endSuspectRun(const SendRequest &send, AttemptEnd end);
    boost::asio::awaitable<void> refuse(bool isFinal, const char *reason);
    void report(const SendRequest &send, const std::string &run, AttemptEnd end);
    std::string runName(const SendRequest &send) const;

    std::uint64_t m_fingerprint;
    std::string m_requestName;
    bool m_mayHaveRun = false;          // bytes of it have been sent
    std::vector<SuspectKey> m_partKeys; // of its prompt
    SuspectRun m_suspectRun;            // of the current attempt
};

} // namespace burdock
