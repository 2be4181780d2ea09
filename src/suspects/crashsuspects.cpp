#include "suspects/crashsuspects.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace burdock {

CrashSuspects::CrashSuspects(SuspectSettings settings)
    : m_settings(settings)
{
}

std::vector<SuspectKey> CrashSuspects::keysOf(std::uint64_t content,
                                              const std::vector<std::uint64_t> &parts) const
{
    std::vector<SuspectKey> keys { { content, SuspectKind::Request } };
    for (std::size_t index = 0; index + 1 < parts.size() && keys.size() < m_settings.maxKeys;
         ++index) {
        const bool isRepeated = std::any_of(keys.begin(), keys.end(), [&](const SuspectKey &key) {
            return key.id == parts[index];
        });
        if (!isRepeated)
            keys.push_back({ parts[index], SuspectKind::PromptPart });
    }
    return keys;
}

// ---- Decisions ----------------------------------------------------------------------------------

bool CrashSuspects::isRefused(const Row &row) const
{
    if (row.kind == SuspectKind::Request)
        return row.crashes.size() >= m_settings.crashesToRefuseRequest;
    return row.crashes.size() >= (row.wasServed ? m_settings.crashesToRefuseServedPart
                                                : m_settings.crashesToRefusePart);
}

bool CrashSuspects::isRefused(std::uint64_t key) const
{
    const auto row = m_rows.find(key);
    return row != m_rows.end() && isRefused(row->second);
}

std::size_t CrashSuspects::refusedCount() const
{
    return static_cast<std::size_t>(std::count_if(m_suspected.begin(), m_suspected.end(),
                                                  [&](auto key) { return isRefused(key); }));
}

bool CrashSuspects::isBlocked(std::uint64_t key, const Row &row, const TrialOwners &owners,
                              Instant now) const
{
    if (row.crashes.empty())
        return false;
    if (isRefused(row))
        return row.inFlight > 0 || now < row.nextTrialAt || !owners.isOwner(key, now);
    return row.inFlight > 0 && row.kind == SuspectKind::PromptPart && !row.wasServed;
}

std::optional<std::uint64_t> CrashSuspects::blockingKey(const std::vector<SuspectKey> &keys,
                                                        const TrialOwners &owners,
                                                        Instant now) const
{
    if (m_suspected.empty())
        return std::nullopt;
    bool isTrial = false;
    for (const SuspectKey &key : keys) {
        const auto row = m_rows.find(key.id);
        if (row == m_rows.end())
            continue;
        if (isBlocked(key.id, row->second, owners, now))
            return key.id;
        if (!isRefused(row->second))
            continue;
        if (isTrial)
            return key.id; // a crash would not show which of the two caused it
        isTrial = true;
    }
    return std::nullopt;
}

bool CrashSuspects::tryStart(SuspectRun &run, const TrialOwners &owners, Instant now)
{
    if (blockingKey(run.keys, owners, now))
        return false;
    run.rounds.clear();
    run.counted.clear();
    run.trial.reset();
    for (const SuspectKey &key : run.keys) {
        const auto found = m_rows.find(key.id);
        if (found == m_rows.end()) {
            run.rounds.push_back(0);
            continue;
        }
        Row &row = found->second;
        run.rounds.push_back(row.round);
        row.inFlight++;
        run.counted.push_back(key.id);
        if (!isRefused(row))
            continue;
        run.trial = key.id;
        addTrials(row, row.trials + 1, now);
        m_changed.push_back(key.id);
    }
    return true;
}

// ---- Ends of runs -------------------------------------------------------------------------------

void CrashSuspects::onServed(const SuspectRun &run, Instant now)
{
    for (const SuspectKey &key : run.keys) {
        if (key.kind == SuspectKind::Request && !m_rows.contains(key.id))
            continue; // most requests never come again
        Row &row = findOrAdd(key, now);
        row.servedAt = now;
        row.wasServed = true;
        if (row.crashes.empty())
            continue;
        row.round++;
        row.crashes.clear();
        row.trials = 0;
        std::erase(m_suspected, key.id);
        m_changed.push_back(key.id);
    }
}

bool CrashSuspects::onCrash(const std::string &process, const SuspectRun &run, Instant now)
{
    const std::uint64_t crash = hashText(process);
    bool counts = false;
    for (std::size_t index = 0; index < run.rounds.size(); ++index) {
        const SuspectKey &key = run.keys[index];
        if (run.trial && *run.trial != key.id)
            continue; // the trial explains the crash
        Row &row = findOrAdd(key, now);
        const bool isFresh = row.servedAt != Instant {}
                && now < row.servedAt + m_settings.freshAnswerTime
                && row.kind == SuspectKind::PromptPart;
        if (row.round != run.rounds[index] || isFresh || !addCrash(key.id, row, crash, now))
            continue;
        counts = true;
        if (row.crashes.size() == 1)
            m_suspected.push_back(key.id);
        if (run.trial) {
            addTrials(row, row.trials + 1, now);
            row.nextTrialAt = std::max(row.nextTrialAt,
                                       now
                                               + (row.wasServed ? m_settings.servedCrashedTrialDelay
                                                                : m_settings.crashedTrialDelay));
        }
        m_changed.push_back(key.id);
    }
    return counts;
}

void CrashSuspects::onEnded(SuspectRun &run)
{
    for (const std::uint64_t key : std::exchange(run.counted, {})) {
        const auto row = m_rows.find(key);
        if (row != m_rows.end() && row->second.inFlight > 0)
            row->second.inFlight--;
    }
}

/// @return whether it was not known
bool CrashSuspects::addCrash(std::uint64_t key, Row &row, std::uint64_t crash, Instant now)
{
    constexpr std::uint64_t SpreadSteps = 16;
    if (row.crashes.size() >= m_settings.maxCrashes
        || std::find(row.crashes.begin(), row.crashes.end(), crash) != row.crashes.end())
        return false;
    row.crashes.push_back(crash);
    row.changedAt = now;
    const Duration spread = m_settings.trialSpread * static_cast<int>(key % SpreadSteps)
            / static_cast<int>(SpreadSteps);
    const Duration delay =
            row.wasServed ? m_settings.servedTrialDelay : m_settings.firstTrialDelay + spread;
    row.nextTrialAt = std::max(row.nextTrialAt, now + delay);
    return true;
}

/// @param trials of the key in this round, now or as another node says
/// @return whether they are more than were known
bool CrashSuspects::addTrials(Row &row, int trials, Instant now)
{
    if (trials <= row.trials)
        return false;
    row.trials = trials;
    const Duration delay =
            trials >= m_settings.maxTrials ? m_settings.trialPeriod : m_settings.nextTrialDelay;
    row.nextTrialAt = std::max(row.nextTrialAt, now + delay);
    return true;
}

// ---- Notes --------------------------------------------------------------------------------------

SuspectNote CrashSuspects::noteOf(std::uint64_t key, const Row &row) const
{
    return { { key, row.kind }, row.round, row.wasServed, row.trials, row.crashes };
}

bool CrashSuspects::onNote(const SuspectNote &note, Instant now)
{
    const auto found = m_rows.find(note.key.id);
    if (found == m_rows.end() && note.crashes.empty() && note.round == 0)
        return false;
    Row &row = findOrAdd(note.key, now);
    const bool isSenderBehind =
            note.round < row.round || (row.wasServed && !note.wasServed && note.round == row.round);
    if (isSenderBehind)
        m_changed.push_back(note.key.id);
    if (note.round < row.round)
        return false;
    const bool hadCrashes = !row.crashes.empty();
    bool isChanged = note.round > row.round || (note.wasServed && !row.wasServed);
    row.wasServed = row.wasServed || note.wasServed;
    if (note.round > row.round) {
        row.round = note.round;
        row.crashes.clear();
        row.trials = 0;
        row.nextTrialAt = {};
    }
    for (const std::uint64_t crash : note.crashes)
        isChanged = addCrash(note.key.id, row, crash, now) || isChanged;
    isChanged = addTrials(row, note.trials, now) || isChanged;
    if (hadCrashes && row.crashes.empty())
        std::erase(m_suspected, note.key.id);
    else if (!hadCrashes && !row.crashes.empty())
        m_suspected.push_back(note.key.id);
    return isChanged;
}

std::vector<SuspectNote> CrashSuspects::takeChanges()
{
    std::vector<SuspectNote> notes;
    std::sort(m_changed.begin(), m_changed.end());
    m_changed.erase(std::unique(m_changed.begin(), m_changed.end()), m_changed.end());
    for (const std::uint64_t key : std::exchange(m_changed, {})) {
        const auto row = m_rows.find(key);
        if (row != m_rows.end())
            notes.push_back(noteOf(key, row->second));
    }
    return notes;
}

std::vector<SuspectNote> CrashSuspects::notesToRepeat(std::size_t count)
{
    std::vector<std::uint64_t> keys;
    for (const std::uint64_t key : m_suspected) {
        if (isRefused(key))
            keys.push_back(key);
    }
    // Each crash leaves dozens of keys that are no more than suspected.
    for (std::size_t step = 0; keys.size() < count && step < m_suspected.size(); ++step) {
        const std::uint64_t key = m_suspected[m_nextSuspected++ % m_suspected.size()];
        if (!isRefused(key))
            keys.push_back(key);
    }
    std::vector<SuspectNote> notes;
    while (notes.size() < std::min(count, keys.size())) {
        const std::uint64_t key = keys[m_nextRepeat++ % keys.size()];
        notes.push_back(noteOf(key, m_rows.at(key)));
    }
    return notes;
}

// ---- Rows ---------------------------------------------------------------------------------------

CrashSuspects::Row &CrashSuspects::findOrAdd(const SuspectKey &key, Instant now)
{
    const auto found = m_rows.find(key.id);
    if (found != m_rows.end())
        return found->second;
    if (m_rows.size() >= m_settings.maxRows)
        makeRoom();
    Row &row = m_rows[key.id];
    row.kind = key.kind;
    row.changedAt = now;
    return row;
}

/// Removes half of the rows: first those without crashes, last those that are refused; among
/// equals those that were served or changed the longest ago.
void CrashSuspects::makeRoom()
{
    struct Candidate
    {
        int value = 0; // of keeping it
        Instant usedAt;
        std::uint64_t key = 0;

        auto operator<=>(const Candidate &) const = default; // NOLINT(modernize-use-nullptr)
    };
    std::vector<Candidate> candidates;
    candidates.reserve(m_rows.size());
    for (const auto &[key, row] : m_rows) {
        const int value = isRefused(row) ? 2 : int(!row.crashes.empty() || row.inFlight > 0);
        candidates.push_back({ value, std::max(row.servedAt, row.changedAt), key });
    }
    const auto middle = candidates.begin() + static_cast<std::ptrdiff_t>(candidates.size() / 2);
    std::nth_element(candidates.begin(), middle, candidates.end());
    for (auto each = candidates.begin(); each != middle; ++each) {
        m_rows.erase(each->key);
        if (each->value > 0)
            std::erase(m_suspected, each->key);
    }
}

} // namespace burdock
