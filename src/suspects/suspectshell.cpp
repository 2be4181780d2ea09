#include "suspects/suspectshell.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>
#include <set>
#include <utility>

namespace burdock {

namespace asio = boost::asio;

namespace {

/// A replica of the region accepts or refuses a connection within milliseconds.
constexpr std::chrono::milliseconds TryTimeout { 300 };
constexpr std::chrono::milliseconds TryAgainAfter { 100 };
constexpr std::chrono::milliseconds RepeatInterval { 500 };
constexpr std::size_t RepeatedNotes = 16;

std::string processName(const BrokenRun &run)
{
    return run.replica + "/" + std::to_string(run.startedMs);
}

} // namespace

SuspectShell::SuspectShell(asio::io_context &io, HttpClient &http, SuspectFleet &fleet)
    : m_io(io)
    , m_http(http)
    , m_fleet(fleet)
{
}

std::optional<std::uint64_t> SuspectShell::blockingKey(const std::vector<SuspectKey> &keys) const
{
    return m_suspects.blockingKey(keys, m_fleet, steadyNow());
}

bool SuspectShell::tryStart(SuspectRun &run)
{
    return m_suspects.tryStart(run, m_fleet, steadyNow());
}

// ---- Ends of runs -------------------------------------------------------------------------------

void SuspectShell::onServed(SuspectRun run)
{
    m_suspects.onServed(run, steadyNow());
    m_suspects.onEnded(run);
}

void SuspectShell::onEnded(SuspectRun run)
{
    m_suspects.onEnded(run);
}

asio::awaitable<void> SuspectShell::onConnectionEnded(BrokenRun run, Endpoint endpoint)
{
    std::string replica = run.replica;
    if (m_evidence.onConnectionEnded(std::move(run), steadyNow()))
        co_await tryConnection(std::move(replica), std::move(endpoint));
}

/// Runs that lose their connections at the same time wait for one try.
asio::awaitable<void> SuspectShell::tryConnection(std::string replica, Endpoint endpoint)
{
    boost::system::error_code woken; // a cancelled wait is the wake-up
    if (const auto running = m_tries.find(replica); running != m_tries.end()) {
        const auto done = running->second;
        co_await done->async_wait(withError(woken));
        co_return;
    }
    const auto done = std::make_shared<asio::steady_timer>(m_io);
    done->expires_at(asio::steady_timer::time_point::max());
    m_tries[replica] = done;
    const ConnectOutcome outcome =
            co_await m_http.tryConnect(endpoint, steadyNow() + Duration(TryTimeout));
    m_tries.erase(replica);
    if (outcome == ConnectOutcome::Refused)
        m_evidence.onRefused(replica);
    judgeRuns();
    done->cancel();
    if (outcome == ConnectOutcome::Accepted)
        asio::co_spawn(m_io, tryAgain(std::move(replica), std::move(endpoint)), asio::detached);
}

/// A process that ends may close connections some time before it stops accepting new ones.
asio::awaitable<void> SuspectShell::tryAgain(std::string replica, Endpoint endpoint)
{
    co_await sleepFor(TryAgainAfter);
    const Instant triedAt = steadyNow();
    const ConnectOutcome outcome =
            co_await m_http.tryConnect(std::move(endpoint), triedAt + Duration(TryTimeout));
    if (outcome == ConnectOutcome::Refused)
        m_evidence.onRefused(replica);
    else if (outcome == ConnectOutcome::Accepted)
        m_evidence.onAlive(replica, triedAt);
    judgeRuns();
}

void SuspectShell::judgeRuns()
{
    std::vector<RunVerdict> verdicts = m_evidence.takeVerdicts();
    std::set<std::string> explained; // processes that a trial ended
    for (const RunVerdict &verdict : verdicts) {
        if (verdict.fate == ReplicaFate::Ended && verdict.run.run.trial)
            explained.insert(processName(verdict.run));
    }
    const Instant now = steadyNow();
    bool counts = false;
    for (RunVerdict &verdict : verdicts) {
        m_fleet.logVerdict(verdict);
        BrokenRun &broken = verdict.run;
        const std::string process = processName(broken);
        if (verdict.fate == ReplicaFate::Ended
            && (broken.run.trial || !explained.contains(process)))
            counts = m_suspects.onCrash(process, broken.run, now) || counts;
        else if (verdict.fate == ReplicaFate::Alive && broken.isAnswered)
            m_suspects.onServed(broken.run, now);
        m_suspects.onEnded(broken.run);
    }
    if (counts)
        sendChanges();
}

// ---- Notes --------------------------------------------------------------------------------------

void SuspectShell::sendChanges()
{
    const std::vector<SuspectNote> notes = m_suspects.takeChanges();
    if (notes.empty())
        return;
    for (const SuspectNote &note : notes)
        m_fleet.logSuspect(note, m_suspects.isRefused(note.key.id), "own");
    m_fleet.sendSuspectNotes(notes, true);
    m_fleet.onRefusalsChanged();
}

void SuspectShell::onNotes(const std::vector<SuspectNote> &notes)
{
    bool isChanged = false;
    for (const SuspectNote &note : notes) {
        if (!m_suspects.onNote(note, steadyNow()))
            continue;
        isChanged = true;
        m_fleet.logSuspect(note, m_suspects.isRefused(note.key.id), "note");
    }
    if (isChanged)
        m_fleet.onRefusalsChanged();
}

void SuspectShell::tick()
{
    const Instant now = steadyNow();
    m_evidence.tick(now);
    judgeRuns();
    sendChanges();
    if (now < m_nextRepeat)
        return;
    m_nextRepeat = now + Duration(RepeatInterval);
    const std::vector<SuspectNote> notes = m_suspects.notesToRepeat(RepeatedNotes);
    if (!notes.empty())
        m_fleet.sendSuspectNotes(notes, false);
}

} // namespace burdock
