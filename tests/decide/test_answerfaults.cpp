// Faults in streamed responses: every fault at every part, alone and in pairs. The tests guard
// against responses that are spliced, mixed up between requests, out of order, or incomplete
// without being reported as truncated.
#include "base/random.h"
#include "decide/responsecheck.h"
#include "support/faultreport.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <string>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t OwnRequest = 7;
constexpr std::uint64_t OtherRequest = 8;
constexpr std::size_t PartCount = 6;

enum class Fault {
    None,
    Lost,       // the part does not arrive
    Duplicated, // the part arrives twice
    Late,       // the part arrives after the next attempt has begun
    Crossed,    // a part of another request arrives instead of the part
    Inserted,   // a part of another request arrives before the part
    CutBefore,  // the stream ends before the part
    CutAfter,   // the stream ends after the part
    Restarts,   // the upstream ignores the resume index and generates different text
    Swapped,    // the part arrives after its successor
};
constexpr int FaultCount = 10;

std::string faultName(int fault)
{
    static const std::vector<std::string> names = { "none",     "lost",     "doubled", "late",
                                                    "crossed",  "inserted", "cut",     "cut after",
                                                    "restarts", "swapped" };
    return names[std::size_t(fault)];
}

struct InjectedFault
{
    Fault fault = Fault::None;
    int attempt = 1;      // number of the affected attempt
    std::size_t part = 0; // index of the affected part
};

/// @return the part that a correct upstream sends. The text differs between attempts, because each
/// attempt generates its own.
ResponsePart makePart(std::uint64_t request, int attempt, std::size_t begin, std::size_t index)
{
    ResponsePart part;
    part.request = request;
    part.attempt = attempt;
    part.begin = begin;
    part.index = index;
    part.last = index + 1 == PartCount;
    part.text =
            std::to_string(request) + "/" + std::to_string(attempt) + "/" + std::to_string(index);
    return part;
}

/// What the client received, as recorded by the checker, which is independent of ResponseCheck.
struct Caller
{
    std::vector<ResponsePart> received;
    bool markedComplete = false;
    bool markedTruncated = false;
    int attempts = 0;                // number of attempts sent
    std::size_t resumeIndex[8] = {}; // by attempt: the index at which it had to resume
    bool startedOver[8] = {}; // by attempt: whether the upstream started at index 0 regardless

    /// @return whether the client received a prefix of its own response, correctly marked as
    /// complete or truncated
    bool isConsistent() const
    {
        int attempt = 1;
        for (std::size_t index = 0; index < received.size(); ++index) {
            const ResponsePart &part = received[index];
            if (part.request != OwnRequest || part.index != index || part.attempt < attempt)
                return false;
            if (part.attempt > attempt && resumeIndex[part.attempt] != index)
                return false; // the text of two attempts is spliced
            if (part.attempt > attempt && startedOver[part.attempt] && index > 0)
                return false; // the attempt did not continue the text received before
            attempt = part.attempt;
        }
        const bool isComplete =
                !received.empty() && received.back().last && received.size() == PartCount;
        return markedComplete == isComplete && markedComplete != markedTruncated;
    }
};

/// Runs one response to its end with the given faults.
Caller runResponse(const std::vector<InjectedFault> &injectedFaults,
                   const ResponseCheckSettings &settings)
{
    ResponseCheck check(OwnRequest, settings);
    Caller caller;
    std::deque<ResponsePart> delayedParts; // parts that arrive after the next attempt has begun
    int attempt = 0;
    std::size_t from = 0;
    bool open = true;

    const auto act = [&](const ResponseAction &action, const ResponsePart *part) {
        if (const auto *deliver = std::get_if<DeliverPart>(&action)) {
            if (part != nullptr)
                caller.received.push_back(*part);
            caller.markedComplete = caller.markedComplete || deliver->isComplete;
            open = open && !deliver->isComplete;
        } else if (const auto *resume = std::get_if<ResumeResponse>(&action)) {
            from = resume->from;
            return false;
        } else if (std::holds_alternative<TruncateResponse>(action)) {
            caller.markedTruncated = true;
            open = false;
        }
        return open;
    };

    while (open && attempt < 7) {
        attempt++;
        caller.resumeIndex[attempt] = from;
        check.beginAttempt(attempt);
        caller.attempts = attempt;
        std::vector<ResponsePart> arrivals;
        std::size_t begin = from;
        std::size_t cutAt = PartCount;
        for (const InjectedFault &injected : injectedFaults) {
            if (injected.fault != Fault::Restarts || injected.attempt != attempt)
                continue;
            begin = 0;
            caller.startedOver[attempt] = true;
        }
        for (std::size_t index = begin; index < PartCount; ++index) {
            const ResponsePart part = makePart(OwnRequest, attempt, begin, index);
            bool sent = true;
            for (const InjectedFault &injected : injectedFaults) {
                if (injected.attempt != attempt || injected.part != index)
                    continue;
                switch (injected.fault) {
                case Fault::Lost:
                    sent = false;
                    break;
                case Fault::Duplicated:
                    arrivals.push_back(part);
                    break;
                case Fault::Late:
                    delayedParts.push_back(part);
                    sent = false;
                    break;
                case Fault::Crossed:
                    arrivals.push_back(makePart(OtherRequest, attempt, begin, index));
                    sent = false;
                    break;
                case Fault::Inserted:
                    arrivals.push_back(makePart(OtherRequest, attempt, begin, index));
                    break;
                case Fault::CutBefore:
                    cutAt = std::min(cutAt, arrivals.size());
                    break;
                case Fault::CutAfter:
                    cutAt = std::min(cutAt, arrivals.size() + 1);
                    break;
                case Fault::Swapped:
                    if (index + 1 < PartCount)
                        arrivals.push_back(makePart(OwnRequest, attempt, begin, index + 1));
                    break;
                default:
                    break;
                }
            }
            if (sent)
                arrivals.push_back(part);
        }
        arrivals.resize(std::min(arrivals.size(), std::max(cutAt, std::size_t(0))));
        // Delayed parts of earlier attempts arrive first.
        bool attemptOpen = true;
        if (attempt > 1) {
            while (!delayedParts.empty() && attemptOpen) {
                const ResponsePart part = delayedParts.front();
                delayedParts.pop_front();
                attemptOpen = act(check.onPart(part), &part);
            }
        }
        for (const ResponsePart &part : arrivals) {
            if (!attemptOpen)
                break;
            attemptOpen = act(check.onPart(part), &part);
        }
        if (attemptOpen)
            act(check.onStreamEnded(attempt), nullptr);
    }
    // A response that never ended gets both marks, which counts as a violation.
    if (open)
        caller.markedTruncated = caller.markedComplete = true;
    return caller;
}

struct Tally
{
    std::uint64_t schedules = 0;
    std::uint64_t violations = 0;
    std::uint64_t complete = 0;
    int maxAttempts = 0;

    void add(const Caller &caller)
    {
        schedules++;
        violations += caller.isConsistent() ? 0 : 1;
        complete += caller.markedComplete ? 1 : 0;
        maxAttempts = std::max(maxAttempts, caller.attempts);
    }
};

/// Runs every pair of faults at every part of the attempts 1 to 3.
Tally runPairs(const ResponseCheckSettings &settings, std::vector<FaultCell> *cells)
{
    Tally total;
    constexpr int Attempts = 3;
    for (int first = 0; first < FaultCount; ++first) {
        for (int second = first; second < FaultCount; ++second) {
            Tally cell;
            for (std::size_t combination = 0;
                 combination < PartCount * PartCount * Attempts * Attempts; ++combination) {
                InjectedFault one { Fault(first),
                                    int(combination / (PartCount * PartCount)) % Attempts + 1,
                                    combination % PartCount };
                InjectedFault two { Fault(second),
                                    int(combination / (PartCount * PartCount)) / Attempts + 1,
                                    combination / PartCount % PartCount };
                cell.add(runResponse({ one, two }, settings));
            }
            total.schedules += cell.schedules;
            total.violations += cell.violations;
            total.complete += cell.complete;
            total.maxAttempts = std::max(total.maxAttempts, cell.maxAttempts);
            if (cells == nullptr)
                continue;
            FaultCell row;
            row.protocol = "whole answers";
            row.step = "each part, attempts 1 to 3";
            row.fault =
                    first == 0 ? faultName(second) : faultName(first) + " + " + faultName(second);
            row.schedules = cell.schedules;
            row.violations = cell.violations;
            cells->push_back(row);
        }
    }
    return total;
}

} // namespace

TEST_GROUP(AnswerFaults) {};

TEST(AnswerFaults, PairsOfFaultsCauseNoViolation)
{
    std::vector<FaultCell> cells;
    const Tally tally = runPairs({}, &cells);
    reportCells(cells);
    std::printf("\npairs of faults: %llu schedules, %llu violations, %llu responses complete\n",
                (unsigned long long)tally.schedules, (unsigned long long)tally.violations,
                (unsigned long long)tally.complete);
    LONGS_EQUAL(0, tally.violations);
    CHECK(tally.complete > tally.schedules / 2); // most responses recover from two faults
}

TEST(AnswerFaults, RequestsThatMustNotRunTwiceAreNeverResumed)
{
    ResponseCheckSettings settings;
    settings.resumable = false;
    const Tally tally = runPairs(settings, nullptr);
    LONGS_EQUAL(0, tally.violations);
    LONGS_EQUAL(1, tally.maxAttempts);
}

TEST(AnswerFaults, RandomFaultSequencesCauseNoViolation)
{
    constexpr std::uint64_t Seed = 20261203;
    constexpr int Schedules = 50'000;
    Random random(Seed);
    Tally tally;
    for (int schedule = 0; schedule < Schedules; ++schedule) {
        std::vector<InjectedFault> injectedFaults;
        const std::size_t count = 1 + random.below(8);
        for (std::size_t each = 0; each < count; ++each)
            injectedFaults.push_back({ Fault(random.below(FaultCount)), int(random.below(4)) + 1,
                                       random.below(PartCount) });
        tally.add(runResponse(injectedFaults, {}));
    }
    std::printf("\nrandom faults: seed %llu, %llu schedules, %llu violations, %llu responses "
                "complete\n",
                (unsigned long long)Seed, (unsigned long long)tally.schedules,
                (unsigned long long)tally.violations, (unsigned long long)tally.complete);
    LONGS_EQUAL(0, tally.violations);
}

TEST(AnswerFaults, DetectsEachDisabledCheck)
{
    using CheckFlag = bool ResponseCheckSettings::*;
    const std::vector<std::pair<std::string, CheckFlag>> flags = {
        { "request", &ResponseCheckSettings::checkRequest },
        { "attempt", &ResponseCheckSettings::checkAttempt },
        { "index", &ResponseCheckSettings::checkIndex },
        { "begin", &ResponseCheckSettings::checkBegin },
        { "end mark", &ResponseCheckSettings::checkEndMark },
    };
    for (const auto &[name, member] : flags) {
        ResponseCheckSettings settings;
        settings.*member = false;
        const Tally tally = runPairs(settings, nullptr);
        std::printf("\ncheck of %s disabled: %llu violations in %llu schedules\n", name.c_str(),
                    (unsigned long long)tally.violations, (unsigned long long)tally.schedules);
        CHECK(tally.violations > 0);
    }
}

TEST(AnswerFaults, ResumesAfterAStreamWithoutEndMark)
{
    ResponseCheck check(OwnRequest);
    check.beginAttempt(1);
    CHECK(std::holds_alternative<DeliverPart>(check.onPart(makePart(OwnRequest, 1, 0, 0))));
    CHECK(std::holds_alternative<DropPart>(check.onPart(makePart(OtherRequest, 1, 0, 1))));
    const ResponseAction ended = check.onStreamEnded(1); // the stream ended without the end mark
    LONGS_EQUAL(1, std::get<ResumeResponse>(ended).from);
    check.beginAttempt(2);
    // A delayed part of attempt 1 is dropped.
    CHECK(std::holds_alternative<DropPart>(check.onPart(makePart(OwnRequest, 1, 0, 1))));
    for (std::size_t index = 1; index < PartCount; ++index)
        check.onPart(makePart(OwnRequest, 2, 1, index));
    CHECK(check.isComplete());
}
