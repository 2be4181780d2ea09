#include "serving/replicatable.h"

#include "base/text.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace burdock {

namespace {

const std::vector<std::string> NoReplicas;

// These bounds keep one outlier from making a replica look idle or dead.
constexpr double MinRatio = 0.25;
constexpr double MaxRatio = 8.0;

/// @return the share of a value that is left after a time
double remaining(Duration age, Duration halfLife)
{
    return std::exp2(-std::max(0.0, double(age.count()) / double(halfLife.count())));
}

std::string modelKey(const std::string &service, const std::string &model)
{
    return service + "/" + model;
}

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
    for (const std::string &model : modelsOf(row))
        unindexModel(row, model);
}

void ReplicaTable::unindexModel(const ReplicaRow &row, const std::string &model)
{
    const auto entry = m_byModel.find(modelKey(row.info.service, model));
    if (entry == m_byModel.end())
        return;
    std::erase(entry->second, row.info.id);
    if (entry->second.empty())
        m_byModel.erase(entry);
}

/// @return models that the replica may hold: listed ones, and those of copies loaded since
std::vector<std::string> ReplicaTable::modelsOf(const ReplicaRow &row)
{
    std::vector<std::string> models;
    const auto add = [&](const std::string &model) {
        if (!contains(models, model))
            models.push_back(model);
    };
    for (const ModelCopy &copy : row.info.models)
        add(copy.model);
    for (const auto &[copy, usableAt] : row.addedCopies)
        add(copy.substr(0, copy.find('/')));
    return models;
}

/// Brings the index up to date after a change of the row.
/// @param earlier modelsOf() the row before the change
void ReplicaTable::updateModelIndex(const ReplicaRow &row, const std::vector<std::string> &earlier)
{
    const std::vector<std::string> models = modelsOf(row);
    for (const std::string &model : earlier) {
        if (!contains(models, model))
            unindexModel(row, model);
    }
    for (const std::string &model : models) {
        if (!contains(earlier, model))
            m_byModel[modelKey(row.info.service, model)].push_back(row.info.id);
    }
}

void ReplicaTable::onAnnounced(ReplicaInfo info, Instant now)
{
    if (info.startedMs == 0)
        info.startedMs = knownProcess(info.id);
    m_limits.onReplicaStarted(info.id, info.startedMs);
    ReplicaRow *row = findRow(info.id);
    std::vector<std::string> earlierModels;
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
        const auto mark = m_marks.find(info.id);
        if (mark != m_marks.end() && mark->second.startedMs == info.startedMs
            && mark->second.wasDelisted) {
            row->avoidUntil = m_revertedUntil;
            mark->second.wasDelisted = now < m_revertedUntil;
        }
    } else {
        earlierModels = modelsOf(*row);
    }
    if (info.draining) {
        if (ProcessMark *mark = markOf(info.id, info.startedMs, now))
            mark->hasDrained = true;
    }
    row->info = info;
    applyMark(*row);
    row->removeAt = {};
    row->coldUntil = now + info.coldRemaining;
    std::erase_if(row->loadingCopies,
                  [&](const auto &entry) { return holdsCopy(info.models, entry.first); });
    // A copy that is no longer listed has been unloaded. If it is listed again, it was loaded anew.
    std::erase_if(row->unavailableCopies,
                  [&](const auto &entry) { return !holdsCopy(info.models, entry.first); });
    std::erase_if(row->addedCopies, [&](const auto &entry) {
        return now >= entry.second + m_settings.addedCopyTime;
    });
    updateModelIndex(*row, earlierModels);
}

void ReplicaTable::onDelisted(const std::string &id, Instant sourceReturnedAt, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const bool mayHaveLapsed =
            sourceReturnedAt != Instant {} && now < sourceReturnedAt + m_settings.missingGrace;
    if (mayHaveLapsed && !row->info.draining) {
        if (row->removeAt == Instant {})
            row->removeAt = sourceReturnedAt + m_settings.missingGrace;
        return;
    }
    if (!mayHaveLapsed) {
        if (ProcessMark *mark = markOf(id, row->info.startedMs, now))
            mark->wasDelisted = true;
    }
    unindex(*row);
    m_rows.erase(id);
}

void ReplicaTable::onSourceReverted(Instant now)
{
    m_revertedUntil = now + m_settings.revertedListTime;
}

void ReplicaTable::extendGracePeriods(Instant now)
{
    for (auto &[id, row] : m_rows) {
        if (row.removeAt != Instant {})
            row.removeAt = now + m_settings.missingGrace;
    }
}

void ReplicaTable::onCopyAdded(const std::string &id, const std::string &copy, Instant usableAt)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const auto earlierModels = modelsOf(*row);
    row->addedCopies[copy] = usableAt;
    row->unavailableCopies.erase(copy);
    updateModelIndex(*row, earlierModels);
}

void ReplicaTable::onCopyDenied(const std::string &id, const std::string &copy, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const auto earlierModels = modelsOf(*row);
    row->unavailableCopies[copy] = now + m_settings.deniedCopyTime;
    row->addedCopies.erase(copy);
    updateModelIndex(*row, earlierModels);
}

void ReplicaTable::onCopyLoading(const std::string &id, const std::string &copy, Instant expectedAt)
{
    ReplicaRow *row = findRow(id);
    if (row != nullptr)
        row->loadingCopies[copy] = expectedAt;
}

Instant ReplicaTable::copyExpectedAt(const std::string &service, const std::string &copy,
                                     Instant now) const
{
    Instant earliest = Instant::max();
    for (const std::string &id : replicasOfService(service)) {
        const ReplicaRow *row = find(id);
        const auto loading = row->loadingCopies.find(copy);
        if (loading == row->loadingCopies.end() || isDrained(*row, now)
            || now > loading->second + m_settings.maxCopyLoadDelay)
            continue;
        earliest = std::min(earliest, std::max(now, loading->second));
    }
    return earliest;
}

void ReplicaTable::onCopyUnloading(const std::string &id, const std::string &copy, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const auto earlierModels = modelsOf(*row);
    row->unavailableCopies[copy] = now + m_settings.unloadingCopyTime;
    row->addedCopies.erase(copy);
    updateModelIndex(*row, earlierModels);
}

std::vector<std::pair<std::string, std::uint64_t>> ReplicaTable::tick(Instant now)
{
    std::erase_if(m_marks, [&](const auto &entry) {
        return !m_rows.contains(entry.first)
                && now >= entry.second.notedAt + m_settings.markLifetime;
    });
    m_limits.tick(now);
    std::vector<std::pair<std::string, std::uint64_t>> removed;
    for (auto each = m_rows.begin(); each != m_rows.end();) {
        const ReplicaRow &row = each->second;
        if (row.removeAt == Instant {} || now < row.removeAt) {
            ++each;
            continue;
        }
        unindex(row);
        removed.emplace_back(each->first, row.generation);
        each = m_rows.erase(each);
    }
    return removed;
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
    row->changeSinceReport++;
    m_limits.onSent(id, now);
    onPromptAssigned(id, freshTokens, now);
}

void ReplicaTable::onPromptAssigned(const std::string &id, int freshTokens, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || freshTokens <= 0)
        return;
    const Duration readTime = prefillTime(*row, freshTokens, now);
    row->prefillDoneAt = std::max(row->prefillDoneAt, now) + readTime;
    std::erase_if(row->prompts, [&](const AssignedPrompt &prompt) {
        return now - prompt.assignedAt > m_settings.promptHistory;
    });
    row->prompts.push_back({ now, readTime, freshTokens });
}

void ReplicaTable::onPromptWithdrawn(const std::string &id, int freshTokens, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    const auto prompt = std::find_if(
            row->prompts.rbegin(), row->prompts.rend(),
            [&](const AssignedPrompt &each) { return each.freshTokens == freshTokens; });
    if (prompt == row->prompts.rend())
        return;
    row->prefillDoneAt = std::max(now, row->prefillDoneAt - prompt->readTime);
    row->prompts.erase(std::next(prompt).base());
}

Duration ReplicaTable::prefillTime(const ReplicaRow &row, int freshTokens, Instant now) const
{
    constexpr double Million = 1e6;
    constexpr double MicrosecondsPerMs = 1e3;
    const double ratio = row.statesWorkTime ? workRatio(row, now) : row.slowness;
    const double tokens = freshTokens;
    const double ms = tokens / m_settings.prefillTokensPerMs
            + m_settings.msPerMillionTokenPairs * tokens * tokens / Million;
    return Duration(static_cast<Duration::rep>(ms * ratio * MicrosecondsPerMs));
}

Duration ReplicaTable::prefillAhead(const ReplicaRow &row, Instant now) const
{
    return std::max(Duration::zero(), row.prefillDoneAt - now);
}

Duration ReplicaTable::recentPrefill(const ReplicaRow &row, Duration span, Instant now) const
{
    if (now >= row.prefillDoneAt + m_settings.prefillIdleTime)
        return {};
    Duration readTime {};
    for (const AssignedPrompt &prompt : row.prompts) {
        if (now - prompt.assignedAt <= span)
            readTime += prompt.readTime;
    }
    return std::max(readTime, prefillAhead(row, now));
}

void ReplicaTable::onLoadReport(const std::string &id, const ReplicaLoadReport &report, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    row->load = report;
    if (report.workTimePercent > 0) {
        constexpr double Percent = 100.0;
        const double stated = std::clamp(double(report.workTimePercent) / Percent,
                                         m_settings.minWorkTime, m_settings.maxWorkTime);
        row->workTime += m_settings.workTimeSmoothing * (stated - row->workTime);
        row->statesWorkTime = true;
        row->workTimeAt = now;
    }
    row->loadReceivedAt = now;
    row->changeSinceReport = 0;
}

double ReplicaTable::workRatio(const ReplicaRow &row, Instant now) const
{
    if (!row.statesWorkTime)
        return slowness(row, now);
    const Duration age = now - row.workTimeAt;
    const double ratio = 1.0
            + (row.meanWorkRatio - 1.0) * remaining(age, m_settings.meanWorkRatioHalfLife)
            + (row.slowness * row.workTime - row.meanWorkRatio)
                    * remaining(age, m_settings.workTimeHalfLife);
    return std::clamp(ratio, MinRatio, MaxRatio);
}

std::vector<std::string> ReplicaTable::workTimeServices() const
{
    std::set<std::string> services;
    for (const auto &[id, row] : m_rows) {
        if (row.statesWorkTime)
            services.insert(row.info.service);
    }
    return { services.begin(), services.end() };
}

double ReplicaTable::slowness(const ReplicaRow &row, Instant now) const
{
    if (row.statesWorkTime)
        return workRatio(row, now) / row.workTime;
    if (!row.info.models.empty() || row.slowness <= 1.0 || row.firstByteAt == Instant {})
        return row.slowness;
    return 1.0
            + (row.slowness - 1.0) * remaining(now - row.firstByteAt, m_settings.slownessHalfLife);
}

void ReplicaTable::onFirstByte(const std::string &id, std::uint64_t generation, double ratio,
                               Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || row->generation != generation)
        return;
    row->connectFailures = 0;
    const double bounded = std::clamp(ratio, MinRatio, MaxRatio);
    double weight = m_settings.smoothing;
    if (row->statesWorkTime) {
        // A replica that a wrong figure keeps away gets a request only now and then.
        const double known = remaining(now - row->firstByteAt, m_settings.workTimeHalfLife);
        weight = std::min(1.0 - (1.0 - weight) * known, m_settings.maxSparseSmoothing);
        row->meanWorkRatio +=
                m_settings.meanWorkRatioSmoothing * (bounded * row->workTime - row->meanWorkRatio);
    } else {
        row->slowness = slowness(*row, now);
    }
    row->firstByteAt = now;
    row->slowness += weight * (bounded - row->slowness);
}

void ReplicaTable::onFinished(const std::string &id, std::uint64_t generation,
                              ReplicaOutcome outcome, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr || row->generation != generation)
        return;
    row->inFlight--;
    row->changeSinceReport--;
    if (outcome == ReplicaOutcome::Rejected)
        row->avoidUntil = std::max(row->avoidUntil, now + m_settings.avoidAfterRejection);
    if (outcome == ReplicaOutcome::Served || outcome == ReplicaOutcome::Failed) {
        const double failed = outcome == ReplicaOutcome::Failed ? 1.0 : 0.0;
        row->failureRate += m_settings.smoothing * (failed - row->failureRate);
    }
}

void ReplicaTable::onConnectFailed(const std::string &id, Instant now)
{
    ReplicaRow *row = findRow(id);
    if (row == nullptr)
        return;
    constexpr int MaxDoublings = 3;
    const int doublings = std::min(row->connectFailures++, MaxDoublings);
    row->avoidUntil = now
            + std::min(m_settings.avoidAfterConnectFailure * (1 << doublings),
                       m_settings.maxAvoidAfterConnectFailure);
}

Instant ReplicaTable::onPauseRequested(const std::string &id, std::uint64_t startedMs,
                                       std::chrono::milliseconds pause, Instant now)
{
    ProcessMark *mark = markOf(id, startedMs, now);
    if (mark == nullptr)
        return {};
    const Duration bounded = std::min<Duration>(pause, m_settings.maxRequestedPause);
    mark->pausedUntil = std::max(mark->pausedUntil, now + bounded);
    if (ReplicaRow *row = findRow(id))
        applyMark(*row);
    return mark->pausedUntil;
}

bool ReplicaTable::onLeaving(const std::string &id, std::uint64_t startedMs, Instant drainedAt,
                             Instant now)
{
    ProcessMark *mark = markOf(id, startedMs, now);
    if (mark == nullptr || mark->drainedAt != Instant {})
        return false;
    mark->drainedAt = drainedAt;
    if (ReplicaRow *row = findRow(id))
        applyMark(*row);
    return true;
}

/// @return start time of the latest process that is known under the id; 0: none is
std::uint64_t ReplicaTable::knownProcess(const std::string &id) const
{
    if (const ReplicaRow *row = find(id))
        return row->info.startedMs;
    const auto mark = m_marks.find(id);
    return mark == m_marks.end() ? 0 : mark->second.startedMs;
}

/// @return the mark of a process, to be changed; null if a later process has its id
ReplicaTable::ProcessMark *ReplicaTable::markOf(const std::string &id, std::uint64_t startedMs,
                                                Instant now)
{
    const ReplicaRow *row = findRow(id);
    if (row != nullptr && row->info.startedMs != startedMs)
        return nullptr;
    ProcessMark &mark = m_marks[id];
    if (mark.startedMs != startedMs) {
        if (row == nullptr && startedMs < mark.startedMs)
            return nullptr;
        mark = {};
        mark.startedMs = startedMs;
    }
    mark.notedAt = now;
    return &mark;
}

void ReplicaTable::applyMark(ReplicaRow &row) const
{
    const auto found = m_marks.find(row.info.id);
    if (found == m_marks.end() || found->second.startedMs != row.info.startedMs)
        return;
    const ProcessMark &mark = found->second;
    row.pausedUntil = mark.pausedUntil;
    row.drainedAt = mark.drainedAt;
    row.info.draining = mark.hasDrained; // a drain is not withdrawn
}

// ---- Queries ------------------------------------------------------------------------------------

const ReplicaRow *ReplicaTable::find(const std::string &id) const
{
    const auto found = m_rows.find(id);
    return found == m_rows.end() ? nullptr : &found->second;
}

const std::vector<std::string> &ReplicaTable::replicasOfService(const std::string &service) const
{
    const auto found = m_byService.find(service);
    return found == m_byService.end() ? NoReplicas : found->second;
}

const std::vector<std::string> &ReplicaTable::replicasOfModel(const std::string &service,
                                                              const std::string &model) const
{
    if (model.empty())
        return replicasOfService(service);
    const auto found = m_byModel.find(modelKey(service, model));
    return found == m_byModel.end() ? NoReplicas : found->second;
}

bool ReplicaTable::isUsable(const ReplicaRow &row, Instant now) const
{
    return !isDrained(row, now) && now >= row.avoidUntil && now >= row.pausedUntil;
}

bool ReplicaTable::isDrained(const ReplicaRow &row, Instant now) const
{
    const auto hasPassed = [&](Instant time) {
        return time != Instant {} && now >= time;
    };
    return row.info.draining || hasPassed(row.drainedAt) || hasPassed(row.removeAt);
}

bool ReplicaTable::isPaused(const std::string &id, Instant now) const
{
    const ReplicaRow *row = find(id);
    return row != nullptr && now < row->pausedUntil;
}

Instant ReplicaTable::pauseEnd(const std::string &service, const std::string &model,
                               const std::string &adapter, Instant now) const
{
    Instant earliest;
    for (const std::string &id : replicasOfModel(service, model)) {
        const ReplicaRow *row = find(id);
        if (isDrained(*row, now) || (!model.empty() && !holds(*row, model, adapter, now)))
            continue;
        if (now >= row->pausedUntil)
            return {};
        earliest = earliest == Instant {} ? row->pausedUntil : std::min(earliest, row->pausedUntil);
    }
    return earliest;
}

bool ReplicaTable::holds(const ReplicaRow &row, const std::string &model,
                         const std::string &adapter, Instant now) const
{
    const std::string copy = copyName(model, adapter);
    if (const auto unavailable = row.unavailableCopies.find(copy);
        unavailable != row.unavailableCopies.end()) {
        if (now < unavailable->second)
            return false;
    }
    if (const auto added = row.addedCopies.find(copy); added != row.addedCopies.end()) {
        if (now >= added->second && now < added->second + m_settings.addedCopyTime)
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
    if (row.loadReceivedAt == Instant {})
        return own;
    const double age = static_cast<double>((now - row.loadReceivedAt).count())
            / static_cast<double>(m_settings.loadReportDecay.count());
    const double reported = row.load.running + row.load.waiting + row.changeSinceReport;
    const double reportWeight = std::exp(-age);
    return std::max(own, reportWeight * reported + (1.0 - reportWeight) * own);
}

} // namespace burdock
