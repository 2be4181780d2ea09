// Verifies a streamed response: that each part belongs to the caller's request, that the parts are
// in order, and that the response is complete.
//
// Index
//   ResponsePart           one numbered part of a streamed response
//   DeliverPart, DropPart, ResumeResponse, TruncateResponse   actions
//   ResponseCheckSettings
//   ResponseCheck          the check of one request
//
// The caller of this module labels each part with the request that the upstream named and with the
// attempt on whose connection the part arrived:
//
//   ResponseCheck check(id);
//   check.beginAttempt(1);
//   ResponseAction action = check.onPart(part);            // DeliverPart: write it to the client
//   ResponseAction action = check.onStreamEnded(1);        // ResumeResponse or TruncateResponse
//
// The client receives the parts 0, 1, 2, ... once each. The response is complete only if the end
// mark has arrived after all other parts. A resumed attempt must state that it continues where the
// delivered parts end: an upstream that starts over generates different text, and its parts would
// splice two responses into one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace burdock {

// ---- Parts --------------------------------------------------------------------------------------

struct ResponsePart
{
    std::uint64_t request = 0; // request that the part belongs to, as stated by the upstream
    int attempt = 0;           // attempt on whose connection the part arrived
    std::size_t begin = 0; // first index of the attempt as stated by the upstream; 0 if not stated
    std::size_t index = 0; // position in the response, from 0; a resumed response continues it
    bool last = false;     // end mark: no part follows
    std::string text;      // content for the client
};

// ---- Actions ------------------------------------------------------------------------------------

struct DeliverPart
{
    bool isComplete = false; // the part is the last one: the response is complete
};

enum class DropReason {
    OtherRequest,   // the part belongs to another request
    EarlierAttempt, // the part's attempt has been ended
    Duplicate,      // the part has been delivered already
    AfterEnd,       // the response has ended
};

struct DropPart
{
    DropReason reason = DropReason::Duplicate; // for the log
};

/// End the attempt and begin another one that continues the response.
struct ResumeResponse
{
    std::size_t from = 0;       // index of the first part that has not been delivered
    bool otherUpstream = false; // the next attempt must use another upstream
};

/// End the attempt and report to the client that the response is incomplete.
struct TruncateResponse
{
    std::size_t delivered = 0; // number of parts delivered
};

using ResponseAction = std::variant<DeliverPart, DropPart, ResumeResponse, TruncateResponse>;

// ---- Check --------------------------------------------------------------------------------------

struct ResponseCheckSettings
{
    int maxResumes = 3;    // the response is truncated when it would have to be resumed again
    bool resumable = true; // false for requests that must not run twice

    // Only tests disable single checks, to prove that each one is needed.
    bool checkRequest = true;
    bool checkAttempt = true;
    bool checkIndex = true;
    bool checkBegin = true;
    bool checkEndMark = true;
};

class ResponseCheck
{
public:
    explicit ResponseCheck(std::uint64_t request, ResponseCheckSettings settings = {});

    /// A new attempt has been sent. Parts of earlier attempts are dropped from now on.
    /// @param attempt greater than the number of any earlier attempt; the first one is 1
    void beginAttempt(int attempt);

    /// A part has arrived on the connection of its attempt.
    ResponseAction onPart(const ResponsePart &part);

    /// The connection of an attempt has closed or failed.
    ResponseAction onStreamEnded(int attempt);

    /// @return the number of parts delivered
    std::size_t delivered() const { return m_delivered; }

    /// @return whether all parts and the end mark have been delivered
    bool isComplete() const { return m_state == State::Complete; }

    /// @return whether the response was ended without its end mark
    bool isTruncated() const { return m_state == State::Truncated; }

private:
    enum class State {
        Streaming,       // an attempt is in progress
        AwaitingAttempt, // the last attempt has ended and another is about to begin
        Complete,        // ended with the end mark
        Truncated,       // ended without the end mark
    };

    ResponseAction endAttempt(bool otherUpstream);

    std::uint64_t m_request;
    ResponseCheckSettings m_settings;
    State m_state = State::AwaitingAttempt;
    int m_attempt = 0;
    int m_resumes = 0;
    std::size_t m_delivered = 0;               // number of parts delivered
    std::size_t m_deliveredAtAttemptStart = 0; // m_delivered at the start of the attempt
};

} // namespace burdock
