// Whole answers under faults: every fault at every part, alone and in pairs.
#include "base/random.h"
#include "decide/answercheck.h"
#include "support/faultreport.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <cstdio>
#include <deque>
#include <string>

using namespace burdock;
using namespace burdock::testing;

namespace {

constexpr std::uint64_t Mine = 7;
constexpr std::uint64_t Other = 8;
constexpr std::size_t Parts = 6;

enum class Fault {
    None,
    Lost,     // the part does not arrive
    Doubled,  // it arrives twice
    Late,     // it arrives after the next attempt has begun
    Crossed,  // another request's part arrives in its place
    Inserted, // another request's part arrives before it
    Cut,      // the stream ends before it
    CutAfter, // the stream ends after it
    Restarts, // the upstream ignores where to resume, and draws other words
    Swapped,  // it arrives after its successor
};
constexpr int FaultCount = 10;

std::string faultName(int fault)
{
    static const std::vector<std::string> names = { "none",     "lost",     "doubled", "late",
                                                    "crossed",  "inserted", "cut",     "cut after",
                                                    "restarts", "swapped" };
    return names[std::size_t(fault)];
}

struct Strike
{
    Fault fault = Fault::None;
    int attempt = 1;      // the attempt it strikes
    std::size_t part = 0; // at this part
};

/// What an upstream would say: each attempt draws its own words from where it begins.
AnswerPart truePart(std::uint64_t request, int attempt, std::size_t begin, std::size_t index)
{
    AnswerPart part;
    part.request = request;
    part.attempt = attempt;
    part.begin = begin;
    part.index = index;
    part.last = index + 1 == Parts;
    part.text =
            std::to_string(request) + "/" + std::to_string(attempt) + "/" + std::to_string(index);
    return part;
}

/// What the outside checker has seen the caller get.
struct Caller
{
    std::vector<AnswerPart> got;
    bool saidWhole = false;
    bool saidTruncated = false;
    int attempts = 0;              // sends
    std::size_t resumedAt[8] = {}; // where each attempt was told to begin
    bool restarted[8] = {};        // the upstream began at 0 all the same

    /// @return whether the caller has a true prefix of its own answer, truly marked
    bool holds() const
    {
        int attempt = 1;
        for (std::size_t index = 0; index < got.size(); ++index) {
            const AnswerPart &part = got[index];
            if (part.request != Mine || part.index != index || part.attempt < attempt)
                return false;
            if (part.attempt > attempt && resumedAt[part.attempt] != index)
                return false; // words of two attempts spliced
            if (part.attempt > attempt && restarted[part.attempt] && index > 0)
                return false; // it did not go on from the words that the caller had
            attempt = part.attempt;
        }
        const bool isWhole = !got.empty() && got.back().last && got.size() == Parts;
        return saidWhole == isWhole && saidWhole != saidTruncated;
    }
};

/// Runs one answer to its end with faults at given places.
Caller runAnswer(const std::vector<Strike> &strikes, const AnswerCheckSettings &settings)
{
    AnswerCheck check(Mine, settings);
    Caller caller;
    std::deque<AnswerPart> late; // arrives after the next attempt has begun
    int attempt = 0;
    std::size_t from = 0;
    bool open = true;

    const auto act = [&](const AnswerAction &action, const AnswerPart *part) {
        if (const auto *deliver = std::get_if<DeliverPart>(&action)) {
            if (part != nullptr)
                caller.got.push_back(*part);
            caller.saidWhole = caller.saidWhole || deliver->whole;
            open = open && !deliver->whole;
        } else if (const auto *resume = std::get_if<ResumeAnswer>(&action)) {
            from = resume->from;
            return false;
        } else if (std::holds_alternative<TruncateAnswer>(action)) {
            caller.saidTruncated = true;
            open = false;
        }
        return open;
    };

    while (open && attempt < 7) {
        attempt++;
        caller.resumedAt[attempt] = from;
        check.beginAttempt(attempt);
        caller.attempts = attempt;
        std::vector<AnswerPart> wire;
        std::size_t begin = from;
        std::size_t cutAt = Parts;
        for (const Strike &strike : strikes) {
            if (strike.fault != Fault::Restarts || strike.attempt != attempt)
                continue;
            begin = 0;
            caller.restarted[attempt] = true;
        }
        for (std::size_t index = begin; index < Parts; ++index) {
            const AnswerPart part = truePart(Mine, attempt, begin, index);
            bool sent = true;
            for (const Strike &strike : strikes) {
                if (strike.attempt != attempt || strike.part != index)
                    continue;
                switch (strike.fault) {
                case Fault::Lost:
                    sent = false;
                    break;
                case Fault::Doubled:
                    wire.push_back(part);
                    break;
                case Fault::Late:
                    late.push_back(part);
                    sent = false;
                    break;
                case Fault::Crossed:
                    wire.push_back(truePart(Other, attempt, begin, index));
                    sent = false;
                    break;
                case Fault::Inserted:
                    wire.push_back(truePart(Other, attempt, begin, index));
                    break;
                case Fault::Cut:
                    cutAt = std::min(cutAt, wire.size());
                    break;
                case Fault::CutAfter:
                    cutAt = std::min(cutAt, wire.size() + 1);
                    break;
                case Fault::Swapped:
                    if (index + 1 < Parts)
                        wire.push_back(truePart(Mine, attempt, begin, index + 1));
                    break;
                default:
                    break;
                }
            }
            if (sent)
                wire.push_back(part);
        }
        wire.resize(std::min(wire.size(), std::max(cutAt, std::size_t(0))));
        // What an earlier attempt left under way arrives first.
        bool going = true;
        if (attempt > 1) {
            while (!late.empty() && going) {
                const AnswerPart part = late.front();
                late.pop_front();
                going = act(check.onPart(part), &part);
            }
        }
        for (const AnswerPart &part : wire) {
            if (!going)
                break;
            going = act(check.onPart(part), &part);
        }
        if (going)
            act(check.onStreamEnded(attempt), nullptr);
    }
    if (open)
        caller.saidTruncated = caller.saidWhole = true; // it never ended: a violation
    return caller;
}

struct Tally
{
    std::uint64_t schedules = 0;
    std::uint64_t violations = 0;
    std::uint64_t whole = 0;
    int mostAttempts = 0;

    void add(const Caller &caller)
    {
        schedules++;
        violations += caller.holds() ? 0 : 1;
        whole += caller.saidWhole ? 1 : 0;
        mostAttempts = std::max(mostAttempts, caller.attempts);
    }
};

/// Every pair of faults at every part, in every attempt up to the third.
Tally runPairs(const AnswerCheckSettings &settings, std::vector<FaultCell> *cells)
{
    Tally total;
    constexpr int Attempts = 3;
    for (int first = 0; first < FaultCount; ++first) {
        for (int second = first; second < FaultCount; ++second) {
            Tally cell;
            for (std::size_t place = 0; place < Parts * Parts * Attempts * Attempts; ++place) {
                Strike one { Fault(first), int(place / (Parts * Parts)) % Attempts + 1,
                             place % Parts };
                Strike two { Fault(second), int(place / (Parts * Parts)) / Attempts + 1,
                             place / Parts % Parts };
                cell.add(runAnswer({ one, two }, settings));
            }
            total.schedules += cell.schedules;
            total.violations += cell.violations;
            total.whole += cell.whole;
            total.mostAttempts = std::max(total.mostAttempts, cell.mostAttempts);
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

TEST(AnswerFaults, EveryPairOfFaultsAtEveryPart)
{
    std::vector<FaultCell> cells;
    const Tally tally = runPairs({}, &cells);
    reportCells(cells);
    std::printf("\npairs: %llu schedules, %llu violations, %llu ended whole\n",
                (unsigned long long)tally.schedules, (unsigned long long)tally.violations,
                (unsigned long long)tally.whole);
    LONGS_EQUAL(0, tally.violations);
    CHECK(tally.whole > tally.schedules / 2); // faults this few can be repaired
}

TEST(AnswerFaults, OrdersAreNeverResumed)
{
    AnswerCheckSettings settings;
    settings.resumable = false;
    const Tally tally = runPairs(settings, nullptr);
    LONGS_EQUAL(0, tally.violations);
    LONGS_EQUAL(1, tally.mostAttempts);
}

TEST(AnswerFaults, RandomStorms)
{
    constexpr std::uint64_t Seed = 20261203;
    constexpr int Schedules = 50'000;
    Random random(Seed);
    Tally tally;
    for (int schedule = 0; schedule < Schedules; ++schedule) {
        std::vector<Strike> strikes;
        const std::size_t count = 1 + random.below(8);
        for (std::size_t each = 0; each < count; ++each)
            strikes.push_back({ Fault(random.below(FaultCount)), int(random.below(4)) + 1,
                                random.below(Parts) });
        tally.add(runAnswer(strikes, {}));
    }
    std::printf("\nstorms: seed %llu, %llu schedules, %llu violations, %llu ended whole\n",
                (unsigned long long)Seed, (unsigned long long)tally.schedules,
                (unsigned long long)tally.violations, (unsigned long long)tally.whole);
    LONGS_EQUAL(0, tally.violations);
}

TEST(AnswerFaults, WithoutAnyOneCheckTheCheckerSeesViolations)
{
    using Switch = bool AnswerCheckSettings::*;
    const std::vector<std::pair<std::string, Switch>> switches = {
        { "request", &AnswerCheckSettings::checkRequest },
        { "attempt", &AnswerCheckSettings::checkAttempt },
        { "index", &AnswerCheckSettings::checkIndex },
        { "begin", &AnswerCheckSettings::checkBegin },
        { "end mark", &AnswerCheckSettings::checkEndMark },
    };
    for (const auto &[name, member] : switches) {
        AnswerCheckSettings settings;
        settings.*member = false;
        const Tally tally = runPairs(settings, nullptr);
        std::printf("\nwithout %s: %llu violations in %llu schedules\n", name.c_str(),
                    (unsigned long long)tally.violations, (unsigned long long)tally.schedules);
        CHECK(tally.violations > 0);
    }
}

TEST(AnswerFaults, WorkedExample)
{
    AnswerCheck check(Mine);
    check.beginAttempt(1);
    CHECK(std::holds_alternative<DeliverPart>(check.onPart(truePart(Mine, 1, 0, 0))));
    CHECK(std::holds_alternative<DropPart>(check.onPart(truePart(Other, 1, 0, 1))));
    const AnswerAction ended = check.onStreamEnded(1); // no end mark has come
    LONGS_EQUAL(1, std::get<ResumeAnswer>(ended).from);
    check.beginAttempt(2);
    CHECK(std::holds_alternative<DropPart>(check.onPart(truePart(Mine, 1, 0, 1)))); // late
    for (std::size_t index = 1; index < Parts; ++index)
        check.onPart(truePart(Mine, 2, 1, index));
    CHECK(check.whole());
}
