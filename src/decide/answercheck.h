// Makes sure that a caller gets its own answer, in order, and is told whether it is whole.
//
// Index
//   AnswerPart                                           one numbered part of a streamed answer
//   DeliverPart, DropPart, ResumeAnswer, TruncateAnswer  what to do
//   AnswerCheckSettings
//   AnswerCheck                                          one for each request
//
// The shell labels each part with the request and the attempt that it asked for on that connection:
//
//   AnswerCheck check(id);
//   check.beginAttempt(1);
//   AnswerAction action = check.onPart(part);            // DeliverPart: write it to the caller
//   AnswerAction action = check.onStreamEnded(1);        // ResumeAnswer, or TruncateAnswer
//
// A caller gets parts 0, 1, 2, ... each once. The answer is whole when the end mark has come after
// all of them, and only then. A resumed attempt must say that it goes on where the caller's part
// ended: one that begins anew draws other words, and would splice two answers into one.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>

namespace burdock {

// ---- Parts --------------------------------------------------------------------------------------

struct AnswerPart
{
    std::uint64_t request = 0; // the request it answers, as the upstream says
    int attempt = 0;           // the attempt whose connection it came on
    std::size_t begin = 0; // the first index of its stream, as the upstream says; 0 if it is silent
    std::size_t index = 0; // from 0; a resumed answer counts on
    bool last = false;     // end mark: no part follows
    std::string text;      // what the caller is to get
};

// ---- Actions ------------------------------------------------------------------------------------

struct DeliverPart
{
    bool whole = false; // it was the last: the answer is whole
};

enum class DropReason {
    OtherRequest,   // it answers another request
    EarlierAttempt, // its attempt has been given up
    Duplicate,      // the caller has it
    AfterEnd,       // the answer has ended
};

struct DropPart
{
    DropReason reason = DropReason::Duplicate; // for the log
};

/// End the attempt and begin another.
struct ResumeAnswer
{
    std::size_t from = 0;   // index of the first part still missing
    bool elsewhere = false; // not at the same upstream
};

/// End the attempt and tell the caller that the answer is a part.
struct TruncateAnswer
{
    std::size_t delivered = 0; // parts that the caller has
};

using AnswerAction = std::variant<DeliverPart, DropPart, ResumeAnswer, TruncateAnswer>;

// ---- System -------------------------------------------------------------------------------------

struct AnswerCheckSettings
{
    int maxResumes = 3;    // after these the answer is truncated
    bool resumable = true; // false for requests that must not run twice

    // Each of these is switched off only by the tests that show what it is for.
    bool checkRequest = true;
    bool checkAttempt = true;
    bool checkIndex = true;
    bool checkBegin = true;
    bool checkEndMark = true;
};

class AnswerCheck
{
public:
    explicit AnswerCheck(std::uint64_t request, AnswerCheckSettings settings = {});

    /// A new attempt has been sent; what comes of earlier ones is dropped from now on.
    void beginAttempt(int attempt);

    /// A part has arrived on the connection of an attempt.
    AnswerAction onPart(const AnswerPart &part);

    /// The connection of an attempt has closed or failed.
    AnswerAction onStreamEnded(int attempt);

    /// @return parts that the caller has
    std::size_t delivered() const { return m_delivered; }

    /// @return whether the end mark has come after every part
    bool whole() const { return m_state == State::Whole; }

    /// @return whether the answer was given up
    bool truncated() const { return m_state == State::Truncated; }

private:
    enum class State {
        Open,      // an attempt is under way
        Between,   // the attempt was given up and another is to begin
        Whole,     // ended with its end mark
        Truncated, // ended without
    };

    AnswerAction breakOff(bool elsewhere);

    std::uint64_t m_request;
    AnswerCheckSettings m_settings;
    State m_state = State::Between;
    int m_attempt = 0;
    int m_resumes = 0;
    std::size_t m_delivered = 0;       // parts that the caller has
    std::size_t m_deliveredBefore = 0; // when this attempt began
};

} // namespace burdock
