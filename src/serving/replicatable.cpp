#include "serving/replicatable.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace burdock {

namespace {

const std::vector<std::string> NoReplicas;

} // namespace

std::string copyName(const std::string &model, const std::string &adapter)
{
    return adapter.empty() ? model : model + "/" + adapter;
}

bool holdsCopy(const std::vector<ModelCopy> &copies, const std::string &copy)
{
    return std::any_of(copies.begin(), copies.end(), [&](const ModelCopy &each) {
        return each.model == copy
                || std::any_of(
                        each.adapters.begin(), each.adapters.end(),
                        [&](const auto &adapter) { return copyName(each.model, adapter) == copy; });
    });
}

ReplicaTable::ReplicaTable(ReplicaTableSettings settings)
    : m_settings(settings)
{
}

// ---- Announcements ------------------------------------------------------------------------------

void ReplicaTable::index(const ReplicaRow &row)
{
    m_byService[row.info.service].push_back(row.info.id);
}

void ReplicaTable::unindex(const ReplicaRow &row)
{
    std::erase(m_byService[row.info.service], row.info.id);
}

void ReplicaTable::onAnnounced(const ReplicaInfo &info, Instant now)
{
    ReplicaRow *row = findRow(info.id);
    const bool restarted = row != nullptr
            && (row->info.startedMs != info.startedMs || row->info.address != info.address
                || row->info.service != info.service);
    if (restarted) {
        unindex(*row);
        m_rows.erase(info.id);
        row = nullptr;
    }
    if (row == nullptr) {
        row = &m_rows[info.id];
        row->generation = m_nextGeneration++;
        row->info = info;
        index(*row);
    }
    const bool wasDraining = row->info.draining;
    row->info = info;
    row->info.draining = info.draining || wasDraining; // a drain is never taken back
    row->goneAt = {};
    row->coldUntil = now + info.coldLeft;
    std::erase_if(row->coming,
                  [&](const auto &entry) { return holdsCopy(info.models, entry.first); });
    // Once it is not listed any more, a copy that is listed later is a new one.
    std::erase_if(row->absent,
                  [&](const auto &entry) { return !holdsCopy(info.models, entry.first); });
    std::erase_if(row->added,
                  [&](const auto &entry) { return now >= entry.second + m_settings.addedFor; });
}

void ReplicaTable::onMissing(const std::string &id, bool sourceDisturbed, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    if (sourceDisturbed && !row->info.draining) {
        if (row->goneAt == Instant {})
            row->goneAt = now + m_settings.missingGrace;
        return;
    }
    unindex(*row);
    m_rows.erase(id);
}

void ReplicaTable::holdMissing(Instant now)
{
    for (auto &[id, row] : m_rows) {
        if (row.goneAt != Instant {})
            row.goneAt = now + m_settings.missingGrace;
    }
}

void ReplicaTable::onCopyAdded(const std::string &id, const std::string &copy, Instant usableAt)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->added[copy] = usableAt;
    row->absent.erase(copy);
}

void ReplicaTable::onCopyDenied(const std::string &id, const std::string &copy, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->absent[copy] = now + m_settings.deniedFor;
    row->added.erase(copy);
}

void ReplicaTable::onCopyComing(const std::string &id, const std::string &copy, Instant expectedAt)
{
    ReplicaRow *row = findRow(id);
    if (row != nullptr)
        row->coming[copy] = expectedAt;
}

Instant ReplicaTable::copyExpectedAt(const std::string &service, const std::string &copy,
                                     Instant now) const
{
    Instant earliest = Instant::max();
    for (const std::string &id : ofService(service)) {
        const ReplicaRow *row = find(id);
        const auto coming = row->coming.find(copy);
        if (coming == row->coming.end() || row->info.draining
            || now > coming->second + m_settings.comingLate)
            continue;
        earliest = std::min(earliest, std::max(now, coming->second));
    }
    return earliest;
}

void ReplicaTable::onCopyLeaving(const std::string &id, const std::string &copy, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->absent[copy] = now + m_settings.leavingFor;
    row->added.erase(copy);
}

std::vector<std::pair<std::string, std::uint64_t>> ReplicaTable::tick(Instant now)
{
    std::vector<std::pair<std::string, std::uint64_t>> dropped;
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        const ReplicaRow &row = each->second;
        if (row.goneAt == Instant {} || now < row.goneAt) {
            ++each;
            continue;
        }
        unindex(row);
        dropped.emplace_back(each->first, row.generation);
        each = m_rows.erase(each);
    }
    return dropped;
}

// ---- Requests -----------------------------------------------------------------------------------

ReplicaRow *ReplicaTable::findRow(const std::string &id)
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

void ReplicaTable::onSent(const std::string &id, int freshTokens, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->inFlight++;
    row->changeSinceLoad++;
    onPrompt(id, freshTokens, now);
}

void ReplicaTable::onPrompt(const std::string &id, int freshTokens, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || freshTokens <= 0)
        return;
    const Duration work = prefillTime(*row, freshTokens);
    row->prefillUntil = std::max(row->prefillUntil, now) + work;
    std::erase_if(row->prompts, [&](const PromptWork &prompt) {
        return now - prompt.at > m_settings.promptsKept;
    });
    row->prompts.push_back({ now, work });
}

void ReplicaTable::onPromptWithdrawn(const std::string &id, int freshTokens, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const Duration work = prefillTime(*row, freshTokens);
    row->prefillUntil = std::max(now, row->prefillUntil - work);
    const auto prompt = std::find_if(row->prompts.rbegin(), row->prompts.rend(),
                                     [&](const PromptWork &each) { return each.work == work; });
    if (prompt != row->prompts.rend())
        row->prompts.erase(std::next(prompt).base());
}

Duration ReplicaTable::prefillTime(const ReplicaRow &row, int freshTokens) const
{
    constexpr double Million = 1e6;
    constexpr double MicrosecondsPerMs = 1e3;
    const double tokens = freshTokens;
    const double ms = tokens / m_settings.prefillTokensPerMs
            + m_settings.pairsMsPerMillion * tokens * tokens / Million;
    return Duration(static_cast<Duration::rep>(ms * row.slowness * MicrosecondsPerMs));
}

Duration ReplicaTable::prefillAhead(const ReplicaRow &row, Instant now) const
{
    return std::max(Duration::zero(), row.prefillUntil - now);
}

Duration ReplicaTable::recentPrefill(const ReplicaRow &row, Duration span, Instant now) const
{
    if (now >= row.prefillUntil + m_settings.stepPause)
        return {};
    Duration work {};
    for (const PromptWork &prompt : row.prompts) {
        if (now - prompt.at <= span)
            work += prompt.work;
    }
    return std::max(work, prefillAhead(row, now));
}

void ReplicaTable::onLoad(const std::string &id, const LoadReading &reading, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->load = reading;
    row->loadReadAt = now;
    row->changeSinceLoad = 0;
}

void ReplicaTable::onFirstByte(const std::string &id, std::uint64_t generation, double ratio)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || row->generation != generation)
        return;
    constexpr double LeastRatio = 0.25; // one odd answer must not make a replica look idle or dead
    constexpr double MostRatio = 8.0;
    row->connectFailures = 0;
    row->slowness +=
            m_settings.smoothing * (std::clamp(ratio, LeastRatio, MostRatio) - row->slowness);
}

void ReplicaTable::onFinished(const std::string &id, std::uint64_t generation,
                              ReplicaOutcome outcome, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || row->generation != generation)
        return;
    row->inFlight--;
    row->changeSinceLoad--;
    if (outcome == ReplicaOutcome::Rejected)
        row->avoidUntil = std::max(row->avoidUntil, now + m_settings.rejectedAvoid);
    if (outcome == ReplicaOutcome::Served || outcome == ReplicaOutcome::Failed) {
        const double failed = outcome == ReplicaOutcome::Failed ? 1.0 : 0.0;
        row->failureShare += m_settings.smoothing * (failed - row->failureShare);
    }
}

void ReplicaTable::onConnectFailed(const std::string &id, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    constexpr int MostDoublings = 3;
    const int doublings = std::min(row->connectFailures++, MostDoublings);
    row->avoidUntil =
            now + std::min(m_settings.connectAvoid * (1 << doublings), m_settings.connectAvoidMax);
}

// ---- Reading ------------------------------------------------------------------------------------

const ReplicaRow *ReplicaTable::find(const std::string &id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const std::vector<std::string> &ReplicaTable::ofService(const std::string &service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? NoReplicas : found->second;
}

bool ReplicaTable::usable(const ReplicaRow &row, Instant now) const
{
    return !row.info.draining && now >= row.avoidUntil;
}

bool ReplicaTable::holds(const ReplicaRow &row, const std::string &model,
                         const std::string &adapter, Instant now) const
{
    const std::string copy = copyName(model, adapter);
    if (const auto denied = row.absent.find(copy); denied != row.absent.end()) {
        if (now < denied->second)
            return false;
    }
    if (const auto added = row.added.find(copy); added != row.added.end()) {
        if (now >= added->second && now < added->second + m_settings.addedFor)
            return true;
    }
    const auto resident = std::find_if(row.info.models.begin(), row.info.models.end(),
                                       [&](const ModelCopy &each) { return each.model == model; });
    if (resident == row.info.models.end())
        return false;
    return adapter.empty() || contains(resident->adapters, adapter);
}

double ReplicaTable::estimatedLoad(const ReplicaRow &row, Instant now) const
{
    const double own = row.inFlight;
    if (row.loadReadAt == Instant {})
        return own;
    const double age = static_cast<double>((now - row.loadReadAt).count())
            / static_cast<double>(m_settings.loadUsable.count());
    const double read = row.load.running + row.load.waiting + row.changeSinceLoad;
    const double trust = std::exp(-age);
    return std::max(own, trust * read + (1.0 - trust) * own);
}

} // namespace burdock
