// Cost of the at-most-once ledger: a table of writes and bytes against the rate of orders, a table
// of orders refused in an hour without the store, and the processor time of each step.
// Usage: bench_ledger [--benchmark_...]. BURDOCK_LEDGER_TABLES names the tables to
// print, of "curve memory outage"; the last one takes some minutes.
#include "base/random.h"
#include "decide/ledger.h"
#include "decide/orderclient.h"

#include <benchmark/benchmark.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <malloc.h>
#include <queue>

using namespace burdock;

namespace {

constexpr std::int64_t CallUs = 5'000;        // a store call takes this long
constexpr std::int64_t OutageStepUs = 50'000; // and this long in the outage
constexpr std::int64_t SecondUs = 1'000'000;  // microseconds in a second
constexpr std::int64_t RunUs = 50'000;        // an upstream's answer takes this long
constexpr std::size_t SegmentRefBytes = 80;   // one line of the head's list
constexpr std::size_t AnswerBodyBytes = 100;  // of a typical order's answer
constexpr std::size_t MegaByte = 1'000'000;

const NodeIdentity Owner { "node-a", 1 };
const NodeIdentity Entry { "node-b", 2 };

/// A store that answers each call one step later, or refuses it.
class SimulatedLedger
{
public:
    explicit SimulatedLedger(LedgerSettings settings, std::int64_t stepUs = CallUs)
        : m_ledger(Owner, settings)
        , m_stepUs(stepUs)
    {
        m_ledger.onLiveNodes({ Owner }, Instant(Duration(0)));
        // The entry node is live, but owns nothing: grants of lost nodes are not the subject.
        for (int step = 0; step < 20; ++step)
            advance();
    }

    Ledger &ledger() { return m_ledger; }
    std::int64_t now() const { return m_now; }
    Instant instant() const { return Instant(Duration(m_now)); }

    /// Lets one step pass.
    /// @return messages to entry nodes
    std::vector<LedgerMessage> advance()
    {
        m_now += m_stepUs;
        std::vector<LedgerAction> calls = std::move(m_calls);
        m_calls.clear();
        for (const LedgerAction &call : calls)
            answer(call);
        m_ledger.tick(instant(), std::chrono::seconds(m_now / SecondUs));
        std::vector<LedgerMessage> messages;
        for (LedgerAction &action : m_ledger.takeActions()) {
            if (SendToNode *send = std::get_if<SendToNode>(&action))
                messages.push_back(std::move(send->message));
            else
                m_calls.push_back(std::move(action));
        }
        return messages;
    }

    bool storeDown = false;
    std::uint64_t writes = 0;
    std::uint64_t bytes = 0;
    std::uint64_t largestHead = 0;

private:
    void answer(const LedgerAction &call)
    {
        const ObjectStatus written = storeDown ? ObjectStatus::Unavailable : ObjectStatus::Done;
        if (const ReadHead *read = std::get_if<ReadHead>(&call)) {
            const ObjectStatus status =
                    storeDown ? ObjectStatus::Unavailable : ObjectStatus::Missing;
            m_ledger.onHead(read->call, read->shard, status, 0, {}, instant());
        } else if (const WriteHead *write = std::get_if<WriteHead>(&call)) {
            const std::size_t size =
                    recordBytes(write->head.recent) + SegmentRefBytes * write->head.segments.size();
            count(size);
            largestHead = std::max<std::uint64_t>(largestHead, size);
            m_ledger.onWritten(write->call, write->shard, written, ++m_version, instant());
        } else if (const CreateSegment *create = std::get_if<CreateSegment>(&call)) {
            count(recordBytes(create->records));
            m_ledger.onWritten(create->call, create->shard, written, ++m_version, instant());
        } else if (const ListSegments *list = std::get_if<ListSegments>(&call)) {
            m_ledger.onSegmentList(list->call, list->shard, written, {}, instant());
        } else if (std::holds_alternative<DeleteSegment>(call)) {
            count(0);
        }
    }

    void count(std::size_t size)
    {
        if (storeDown)
            return;
        ++writes;
        bytes += size;
    }

    Ledger m_ledger;
    std::int64_t m_stepUs;
    std::int64_t m_now = 0;
    std::uint64_t m_version = 0;
    std::vector<LedgerAction> m_calls;
};

Admit makeAdmit(std::uint64_t number)
{
    const std::string text = std::to_string(number);
    const std::string key = "franchise-0123456789-week-" + text;
    return Admit { { "order-app", key }, hashText(key), "node-b/0000000000000002/" + text, Entry };
}

Outcome makeOutcome(const AdmitReply &reply)
{
    return Outcome {
        reply.order,          hashText(reply.order.key),
        reply.attempt,        Entry,
        OrderState::Answered, { 200, "application/json", std::string(AnswerBodyBytes, 'x'), false }
    };
}

// ---- Writes and bytes against the rate of orders ------------------------------------------------

struct CurveRow
{
    double writesPerSecond = 0;
    double megabytesPerSecond = 0;
    double largestHeadKb = 0;
    double medianMs = 0;
    double p99Ms = 0;
    double refused = 0;
};

CurveRow runCurve(const LedgerSettings &settings, double ordersPerSecond, int seconds)
{
    SimulatedLedger simulation(settings);
    Random random(20261203);
    std::map<std::string, std::int64_t> askedAt;
    std::deque<std::pair<std::int64_t, Outcome>> outcomes;
    std::vector<double> waits;
    double due = 0;
    std::uint64_t number = 0;
    std::uint64_t refused = 0;
    const std::int64_t start = simulation.now();
    while (simulation.now() < start + seconds * SecondUs) {
        due += ordersPerSecond * CallUs / SecondUs * 2 * random.unit();
        for (; due >= 1; due -= 1) {
            const Admit admit = makeAdmit(++number);
            askedAt[admit.attempt] = simulation.now();
            simulation.ledger().onAdmit(admit, simulation.instant());
        }
        while (!outcomes.empty() && outcomes.front().first <= simulation.now()) {
            simulation.ledger().onOutcome(outcomes.front().second, simulation.instant());
            outcomes.pop_front();
        }
        for (const LedgerMessage &message : simulation.advance()) {
            const AdmitReply *reply = std::get_if<AdmitReply>(&message);
            const auto asked = reply == nullptr ? askedAt.end() : askedAt.find(reply->attempt);
            if (asked == askedAt.end())
                continue;
            waits.push_back(static_cast<double>(simulation.now() - asked->second) / 1'000);
            askedAt.erase(asked);
            if (reply->verdict == AdmitVerdict::Granted)
                outcomes.emplace_back(simulation.now() + RunUs, makeOutcome(*reply));
            else
                ++refused;
        }
    }
    std::sort(waits.begin(), waits.end());
    CurveRow row;
    row.writesPerSecond = static_cast<double>(simulation.writes) / seconds;
    row.megabytesPerSecond = static_cast<double>(simulation.bytes) / seconds / MegaByte;
    row.largestHeadKb = static_cast<double>(simulation.largestHead) / 1'000;
    row.refused = static_cast<double>(refused);
    if (!waits.empty()) {
        row.medianMs = waits[waits.size() / 2];
        row.p99Ms = waits[waits.size() * 99 / 100];
    }
    return row;
}

void printCurveRow(const LedgerSettings &settings, double rate, int seconds)
{
    const CurveRow row = runCurve(settings, rate, seconds);
    std::printf("%7.0f %7u %9lld %10zu %9.1f %9.2f %9.0f %9.0f %9.0f %8.0f\n", rate,
                settings.shards, static_cast<long long>(settings.commitInterval.count()),
                settings.segmentThresholdBytes / 1'024, row.writesPerSecond, row.megabytesPerSecond,
                row.largestHeadKb, row.medianMs, row.p99Ms, row.refused);
}

void printCurve()
{
    std::printf("Group commit, simulated time, a store call takes 5 ms, two writes an order\n");
    std::printf("%7s %7s %9s %10s %9s %9s %9s %9s %9s %8s\n", "orders", "shards", "interval",
                "recent KB", "writes/s", "MB/s", "head KB", "grant", "grant p99", "refused");
    for (const double rate : { 10.0, 55.0, 110.0, 275.0, 550.0, 1'375.0, 2'750.0, 5'500.0 })
        printCurveRow(LedgerSettings(), rate, rate > 1'000 ? 10 : 60);
    for (const double rate : { 55.0, 275.0, 550.0, 5'500.0 }) {
        LedgerSettings settings;
        settings.shards = 64;
        settings.commitInterval = std::chrono::milliseconds(200);
        printCurveRow(settings, rate, rate > 1'000 ? 10 : 60);
    }
    for (const std::size_t recentKb : { 4, 8, 16, 32, 64 }) {
        LedgerSettings settings;
        settings.segmentThresholdBytes = recentKb * 1'024;
        printCurveRow(settings, 275, 60);
    }
    for (const int interval : { 25, 50, 100, 200, 400 }) {
        LedgerSettings settings;
        settings.commitInterval = std::chrono::milliseconds(interval);
        printCurveRow(settings, 275, 60);
    }
}

// ---- An hour without the store ------------------------------------------------------------------

struct Caller
{
    std::uint64_t number = 0;
    std::int64_t firstAt = 0; // when it asked first
};

struct OutageRow
{
    std::uint64_t orders = 0;       // new orders in the outage
    std::uint64_t refusals = 0;     // answers "not run"
    std::uint64_t givenUp = 0;      // callers that stopped asking; their orders never ran
    std::uint64_t granted = 0;      // of them, after the store came back
    std::uint64_t resends = 0;      // resends of orders settled before
    std::uint64_t resendsKnown = 0; // of them, answered from memory
    double peakRequests = 0;        // requests a second in the worst second
    double lastGrantSeconds = 0;    // after the store came back
};

/// @param patience a caller asks again for this long, then gives up
OutageRow runOutage(double ordersPerSecond, std::int64_t patienceUs, const LedgerSettings &settings)
{
    SimulatedLedger simulation(settings, OutageStepUs);
    Random random(20261203);
    OutageRow row;
    constexpr std::uint64_t SettledOrders = 2'000;
    for (std::uint64_t number = 1; number <= SettledOrders; ++number)
        simulation.ledger().onAdmit(makeAdmit(number), simulation.instant());
    for (int step = 0; step < 200; ++step) {
        for (const LedgerMessage &message : simulation.advance()) {
            const AdmitReply *reply = std::get_if<AdmitReply>(&message);
            if (reply != nullptr && reply->verdict == AdmitVerdict::Granted)
                simulation.ledger().onOutcome(makeOutcome(*reply), simulation.instant());
        }
    }
    simulation.storeDown = true;
    const std::int64_t start = simulation.now();
    const std::int64_t end = start + 3'600 * SecondUs;
    std::multimap<std::int64_t, Caller> callers; // by when they ask
    std::map<std::string, Caller> asked;
    std::uint64_t number = SettledOrders;
    std::uint64_t thisSecond = 0;
    std::uint64_t resendNumber = 0;
    double due = 0;
    while (simulation.now() < end || !callers.empty() || !asked.empty()) {
        const std::int64_t now = simulation.now();
        simulation.storeDown = now < end;
        if (now < end)
            due += ordersPerSecond * OutageStepUs / SecondUs;
        for (; due >= 1; due -= 1) {
            ++row.orders;
            callers.emplace(now, Caller { ++number, now });
        }
        if (now < end && (now - start) % SecondUs == 0) { // one resend of a settled order a second
            Admit admit = makeAdmit(1 + resendNumber % SettledOrders);
            admit.attempt = "resend " + std::to_string(++resendNumber);
            ++row.resends;
            simulation.ledger().onAdmit(admit, simulation.instant());
        }
        while (!callers.empty() && callers.begin()->first <= now) {
            const Caller caller = callers.begin()->second;
            callers.erase(callers.begin());
            const Admit admit = makeAdmit(caller.number);
            asked[admit.attempt] = caller;
            ++thisSecond;
            simulation.ledger().onAdmit(admit, simulation.instant());
        }
        if (now % SecondUs < OutageStepUs) {
            row.peakRequests = std::max(row.peakRequests, static_cast<double>(thisSecond));
            thisSecond = 0;
        }
        for (const LedgerMessage &message : simulation.advance()) {
            const AdmitReply *reply = std::get_if<AdmitReply>(&message);
            if (reply == nullptr)
                continue;
            if (reply->attempt.starts_with("resend")) {
                row.resendsKnown += reply->verdict == AdmitVerdict::Duplicate ? 1 : 0;
                continue;
            }
            const auto caller = asked.find(reply->attempt);
            if (caller == asked.end())
                continue;
            if (reply->verdict == AdmitVerdict::Granted) {
                ++row.granted;
                row.lastGrantSeconds = static_cast<double>(simulation.now() - end) / SecondUs;
                simulation.ledger().onOutcome(makeOutcome(*reply), simulation.instant());
            } else {
                ++row.refusals;
                const std::int64_t pause = reply->retryAfter.count() * 1'000;
                const std::int64_t again = simulation.now() + pause
                        + static_cast<std::int64_t>(random.unit() * static_cast<double>(pause));
                if (again - caller->second.firstAt > patienceUs)
                    ++row.givenUp;
                else
                    callers.emplace(again, caller->second);
            }
            asked.erase(caller);
        }
    }
    return row;
}

void printOutageRow(double rate, std::int64_t patienceSeconds, int retryAfterMaxSeconds)
{
    LedgerSettings settings;
    settings.maxRetryAfter = std::chrono::seconds(retryAfterMaxSeconds);
    const OutageRow row = runOutage(rate, patienceSeconds * SecondUs, settings);
    std::printf("%8.0f %8llds %8ds %8llu %9llu %8llu %9llu %9.0f %7llu %7llu %7.0f s\n", rate,
                static_cast<long long>(patienceSeconds), retryAfterMaxSeconds,
                static_cast<unsigned long long>(row.orders),
                static_cast<unsigned long long>(row.refusals),
                static_cast<unsigned long long>(row.givenUp),
                static_cast<unsigned long long>(row.granted), row.peakRequests,
                static_cast<unsigned long long>(row.resends),
                static_cast<unsigned long long>(row.resendsKnown), row.lastGrantSeconds);
}

void printOutage()
{
    std::printf("\nAn hour without the store, simulated; orders are 1 %% and 5 %% of 5,500 "
                "requests/s\n");
    std::printf("%8s %9s %9s %8s %9s %8s %9s %9s %7s %7s %9s\n", "orders/s", "patience",
                "retry max", "orders", "refusals", "given up", "run later", "peak rq/s", "settled",
                "known", "all run");
    printOutageRow(55, 60, 2);
    printOutageRow(55, 60, 30);
    printOutageRow(55, 900, 30);
    printOutageRow(275, 60, 30);
    printOutageRow(275, 900, 30);
}

// ---- Memory -------------------------------------------------------------------------------------

void printMemory()
{
    SimulatedLedger simulation((LedgerSettings()));
    const std::size_t before = mallinfo2().uordblks;
    constexpr std::uint64_t Orders = 100'000;
    for (std::uint64_t number = 1; number <= Orders;) {
        for (int count = 0; count < 1'000; ++count)
            simulation.ledger().onAdmit(makeAdmit(number++), simulation.instant());
        for (int step = 0; step < 60; ++step) {
            for (const LedgerMessage &message : simulation.advance()) {
                const AdmitReply *reply = std::get_if<AdmitReply>(&message);
                if (reply != nullptr && reply->verdict == AdmitVerdict::Granted)
                    simulation.ledger().onOutcome(makeOutcome(*reply), simulation.instant());
            }
        }
    }
    const std::size_t bytes = mallinfo2().uordblks - before;
    std::printf("\nMemory: %llu settled orders take %.0f bytes each at their owners\n",
                static_cast<unsigned long long>(Orders),
                static_cast<double>(bytes) / static_cast<double>(Orders));
}

// ---- Processor time -----------------------------------------------------------------------------

/// Admits, commits and settles a batch of orders; time per order.
void orderThroughOwner(benchmark::State &state)
{
    SimulatedLedger simulation((LedgerSettings()));
    std::uint64_t number = 0;
    const auto batch = static_cast<std::uint64_t>(state.range(0));
    for (auto _ : state) {
        for (std::uint64_t count = 0; count < batch; ++count)
            simulation.ledger().onAdmit(makeAdmit(++number), simulation.instant());
        for (int step = 0; step < 40; ++step) {
            for (const LedgerMessage &message : simulation.advance()) {
                const AdmitReply *reply = std::get_if<AdmitReply>(&message);
                if (reply != nullptr && reply->verdict == AdmitVerdict::Granted)
                    simulation.ledger().onOutcome(makeOutcome(*reply), simulation.instant());
            }
        }
    }
    state.SetItemsProcessed(state.iterations() * state.range(0));
}

/// A resend of a settled order, answered from memory.
void resendOfSettledOrder(benchmark::State &state)
{
    SimulatedLedger simulation((LedgerSettings()));
    for (std::uint64_t number = 1; number <= 1'000; ++number)
        simulation.ledger().onAdmit(makeAdmit(number), simulation.instant());
    for (int step = 0; step < 40; ++step)
        simulation.advance();
    std::uint64_t number = 0;
    for (auto _ : state) {
        Admit admit = makeAdmit(1 + number++ % 1'000);
        admit.attempt = "again";
        simulation.ledger().onAdmit(admit, simulation.instant());
        benchmark::DoNotOptimize(simulation.ledger().takeActions());
    }
}

/// A tick of a node that owns every shard and has nothing to do.
void idleTick(benchmark::State &state)
{
    SimulatedLedger simulation((LedgerSettings()));
    for (auto _ : state)
        simulation.advance();
}

} // namespace

BENCHMARK(orderThroughOwner)->Arg(16)->Arg(160)->Arg(1'600);
BENCHMARK(resendOfSettledOrder);
BENCHMARK(idleTick);

int main(int argc, char **argv)
{
    std::setvbuf(stdout, nullptr, _IOLBF, 0);
    const char *chosen = std::getenv("BURDOCK_LEDGER_TABLES");
    const std::string tables = chosen == nullptr ? "curve memory outage" : chosen;
    if (tables.find("curve") != std::string::npos)
        printCurve();
    if (tables.find("memory") != std::string::npos)
        printMemory();
    if (tables.find("outage") != std::string::npos)
        printOutage();
    benchmark::Initialize(&argc, argv);
    benchmark::RunSpecifiedBenchmarks();
    return 0;
}
