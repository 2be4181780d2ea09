#include "serving/scheduler.h"

#include "base/hashing.h"
#include "base/text.h"

#include <algorithm>
#include <utility>

namespace burdock {

namespace {

constexpr std::uint64_t SpreadSteps = 64; // different times that callers are told to return at

/// @return the key that identifies a copy, or a plain service, among all services
std::string copyKey(const ServingRequest &request)
{
    return request.service + "/" + copyName(request.model, request.adapter);
}

/// @return whether `left` is started before `right`
bool hasPrecedence(const ServingRequest &left, const ServingRequest &right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.firstByteObjective < right.firstByteObjective;
}

} // namespace

RequestScheduler::RequestScheduler(ReplicaTable &table, ReplicaChooser &chooser,
                                   SchedulerSettings settings)
    : m_table(table)
    , m_chooser(chooser)
    , m_settings(settings)
{
}

std::vector<SchedulerAction> RequestScheduler::takeActions()
{
    return std::exchange(m_actions, {});
}

// ---- Arrival ------------------------------------------------------------------------------------

void RequestScheduler::submit(const ServingRequest &request, std::vector<std::string> excluded,
                              bool isRetry, Instant now)
{
    QueuedRequest waiting {
        request, copyKey(request), promptChain(request), std::move(excluded), isRetry, now, {}
    };
    if (tryStart(waiting, now))
        return;
    enqueue(std::move(waiting), now);
}

std::optional<StartRequest> RequestScheduler::startNow(const ServingRequest &request,
                                                       std::vector<std::string> excluded,
                                                       Instant now)
{
    QueuedRequest again {
        request, copyKey(request), promptChain(request), std::move(excluded), true, now, {}
    };
    return place(again, now);
}

bool RequestScheduler::tryStart(QueuedRequest &waiting, Instant now)
{
    auto start = place(waiting, now);
    if (start) {
        m_actions.emplace_back(std::move(*start));
        return true;
    }
    if (waiting.cause == NoReplica::NotResident && !waiting.request.model.empty())
        requestCopy(waiting.request, now);
    return false;
}

/// Chooses a replica and counts the send.
/// @return nothing if there is none, with the cause in `waiting`
std::optional<StartRequest> RequestScheduler::place(QueuedRequest &waiting, Instant now)
{
    ChooserResult result = m_chooser.choose(waiting.request, waiting.chain, waiting.excluded, now);
    if (const auto *none = std::get_if<NoReplica>(&result)) {
        waiting.cause = *none;
        return std::nullopt;
    }
    auto &choice = std::get<ReplicaChoice>(result);
    m_table.onSent(choice.id, choice.freshTokens, now);
    m_chooser.onSent(waiting.request, waiting.chain, choice);
    if (const auto rate = m_rates.find(waiting.key);
        rate != m_rates.end() && rate->second.waiting > 0)
        rate->second.starts++;
    return StartRequest { waiting.request.id, std::move(choice), now - waiting.queuedAt };
}

/// @return until when a request may stay in the queue, by the reason why it was not started
Instant RequestScheduler::initialQueueDeadline(const QueuedRequest &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const Duration remaining = std::min(request.deadline, request.firstByteDeadline) - now;
    const auto afterShare = [&](double share) {
        return now + Duration(static_cast<Duration::rep>(double(remaining.count()) * share));
    };
    switch (waiting.cause) {
    case NoReplica::NotResident: {
        const Instant expected = m_table.copyExpectedAt(
                request.service, copyName(request.model, request.adapter), now);
        const Instant latest = afterShare(m_settings.maxLoadWaitShare);
        const Instant orderDeadline = std::min(now + m_settings.loadOrderWait, latest);
        return expected < latest ? latest : orderDeadline;
    }
    case NoReplica::Unusable:
        return std::min(now + m_settings.maxUnusableWait, afterShare(m_settings.maxLoadWaitShare));
    case NoReplica::Full:
    case NoReplica::Limited:
        break;
    }
    return std::max(
            std::min({ request.firstByteObjective, request.deadline, request.firstByteDeadline }),
            afterShare(m_settings.maxLateShare));
}

/// @return the new deadline of a request that was queued because no replica held its copy: later
/// than now if the copy has been ordered to be loaded in the meantime
Instant RequestScheduler::extendedQueueDeadline(const QueuedRequest &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const Duration timeLimit =
            std::min(request.deadline, request.firstByteDeadline) - request.arrivedAt;
    const Instant latest = request.arrivedAt
            + Duration(static_cast<Duration::rep>(double(timeLimit.count())
                                                  * m_settings.maxLoadWaitShare));
    const Instant expected =
            m_table.copyExpectedAt(request.service, copyName(request.model, request.adapter), now);
    return expected < latest ? latest : now;
}

/// @return number of queued requests for the same copy that are started before this one
std::size_t RequestScheduler::requestsAhead(const QueuedRequest &waiting) const
{
    const auto queue = m_queues.find(waiting.request.service);
    if (queue == m_queues.end())
        return 0;
    std::size_t ahead = 0;
    for (const QueuedRequest &other : queue->second) {
        if (other.key == waiting.key && !hasPrecedence(waiting.request, other.request))
            ++ahead;
    }
    return ahead;
}

/// @return estimated time until a replica can read the request's prompt: the shortest prefill time
/// assigned to a usable replica that holds the copy, plus the read time of the prompts queued
/// before this one, divided by the number of these replicas; zero if there is none
Duration RequestScheduler::promptsAhead(const QueuedRequest &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const ReplicaRow *holder = nullptr;
    int holders = 0;
    Duration minPrefillAhead = Duration::max();
    for (const std::string &id : m_table.replicasOfModel(request.service, request.model)) {
        const ReplicaRow *row = m_table.find(id);
        if (!m_table.isUsable(*row, now)
            || !m_table.holds(*row, request.model, request.adapter, now))
            continue;
        holder = row;
        holders++;
        minPrefillAhead = std::min(minPrefillAhead, m_table.prefillAhead(*row, now));
    }
    if (holder == nullptr)
        return {};
    Duration queued {};
    for (const QueuedRequest &other : m_queues.at(request.service)) {
        if (other.key == waiting.key && !hasPrecedence(request, other.request))
            queued += m_table.prefillTime(*holder, other.request.promptTokens, now);
    }
    return minPrefillAhead + queued / holders;
}

/// @return expected queueing time: the longer of the estimates from the prompts ahead and from the
/// start rate
Duration RequestScheduler::expectedWait(const QueuedRequest &waiting, Instant now) const
{
    Duration wait {};
    if (!waiting.request.model.empty() && m_queues.contains(waiting.request.service))
        wait = promptsAhead(waiting, now);
    if (const double rate = startsPerSecond(waiting.key); rate > 0.0) {
        const double byRate = 1e6 * double(requestsAhead(waiting) + 1) / rate;
        wait = std::max(wait, Duration(static_cast<Duration::rep>(byRate)));
    }
    return wait;
}

/// @return start rate of a copy while requests for it are queued; 0 if it is unknown
double RequestScheduler::startsPerSecond(const std::string &key) const
{
    const auto rate = m_rates.find(key);
    if (rate == m_rates.end() || rate->second.smoothedBacklog < m_settings.minBacklog)
        return 0.0;
    return rate->second.smoothedStarts / rate->second.smoothedBacklog;
}

void RequestScheduler::enqueue(QueuedRequest waiting, Instant now)
{
    waiting.queueDeadline = initialQueueDeadline(waiting, now);
    if (m_serviceById.size() >= m_settings.maxQueued) {
        refuse(waiting, "queue_full", now);
        return;
    }
    if (refuseIfPaused(waiting, now) || refuseIfLimited(waiting, now))
        return;
    if (waiting.cause == NoReplica::Full && !waiting.isRetry) {
        const Instant expected = now + expectedWait(waiting, now);
        if (expected > std::min(waiting.request.firstByteObjective, waiting.queueDeadline)) {
            refuse(waiting, "overload", now);
            return;
        }
    }
    Queue &queue = m_queues[waiting.request.service];
    const auto position = std::find_if(queue.begin(), queue.end(), [&](const QueuedRequest &other) {
        return hasPrecedence(waiting.request, other.request);
    });
    m_serviceById[waiting.request.id] = waiting.request.service;
    m_rates[waiting.key].waiting++;
    queue.insert(position, std::move(waiting));
}

/// Removes a request from its queue.
RequestScheduler::Queue::iterator RequestScheduler::dequeue(Queue &queue, Queue::iterator position)
{
    m_serviceById.erase(position->request.id);
    m_rates[position->key].waiting--;
    return queue.erase(position);
}

void RequestScheduler::cancel(std::uint64_t id)
{
    const auto service = m_serviceById.find(id);
    if (service == m_serviceById.end())
        return;
    Queue &queue = m_queues[service->second];
    const auto position =
            std::find_if(queue.begin(), queue.end(),
                         [&](const QueuedRequest &waiting) { return waiting.request.id == id; });
    dequeue(queue, position);
}

// ---- Queues -------------------------------------------------------------------------------------

void RequestScheduler::pump(Instant now)
{
    if (m_serviceById.empty())
        return;
    for (auto &[service, queue] : m_queues) {
        // Keys of copies without capacity, for which no other request has to be tried.
        std::unordered_set<std::string> blocked;
        // If late requests were started first, a long queue would make all others late as well.
        // Requests that can still be on time are therefore started first.
        pumpQueue(queue, blocked, false, now);
        pumpQueue(queue, blocked, true, now);
    }
}

void RequestScheduler::pumpQueue(Queue &queue, std::unordered_set<std::string> &blocked, bool late,
                                 Instant now)
{
    for (auto position = queue.begin(); position != queue.end();) {
        const bool isLate = now >= position->request.firstByteObjective;
        if (isLate != late || (position->excluded.empty() && blocked.contains(position->key))) {
            ++position;
            continue;
        }
        if (!tryStart(*position, now)) {
            if (position->excluded.empty())
                blocked.insert(position->key);
            ++position;
            continue;
        }
        position = dequeue(queue, position);
    }
}

void RequestScheduler::measureRates(Instant now)
{
    for (auto &[key, rate] : m_rates) {
        if (rate.waiting > 0 && m_tickedAt != Instant {})
            rate.backlogged += now - m_tickedAt;
    }
    m_tickedAt = now;
    if (now < m_windowEnd)
        return;
    m_windowEnd = now + m_settings.rateWindow;
    constexpr double LatestWeight = 0.5;
    constexpr double MinTrackedBacklog = 0.01; // smoothed seconds per window
    for (auto position = m_rates.begin(); position != m_rates.end();) {
        StartRate &rate = position->second;
        const double backlogged = double(std::exchange(rate.backlogged, Duration {}).count()) / 1e6;
        rate.smoothedStarts += LatestWeight * (std::exchange(rate.starts, 0) - rate.smoothedStarts);
        rate.smoothedBacklog += LatestWeight * (backlogged - rate.smoothedBacklog);
        const bool isIdle = rate.waiting == 0 && rate.smoothedBacklog < MinTrackedBacklog;
        position = isIdle ? m_rates.erase(position) : std::next(position);
    }
}

void RequestScheduler::tick(Instant now)
{
    measureRates(now);
    std::erase_if(m_nextCopyRequestAt, [&](const auto &entry) { return now >= entry.second; });
    pump(now);
    for (auto &[service, queue] : m_queues) {
        for (auto position = queue.begin(); position != queue.end();) {
            if (now >= position->queueDeadline && position->cause == NoReplica::NotResident)
                position->queueDeadline =
                        std::max(position->queueDeadline, extendedQueueDeadline(*position, now));
            if (refuseIfPaused(*position, now) || refuseIfLimited(*position, now)) {
                position = dequeue(queue, position);
                continue;
            }
            if (now < position->queueDeadline) {
                ++position;
                continue;
            }
            // Indexed by NoReplica.
            static constexpr const char *Reasons[] = { "not_resident", "no_replica", "overload",
                                                       "limited" };
            refuse(*position, Reasons[static_cast<std::size_t>(position->cause)], now);
            position = dequeue(queue, position);
        }
    }
}

// ---- Actions ------------------------------------------------------------------------------------

void RequestScheduler::refuse(const QueuedRequest &waiting, const char *reason, Instant now)
{
    const double rate = startsPerSecond(waiting.key);
    std::chrono::milliseconds retryAfter = m_settings.minRetryAfter;
    if (rate > 0.0) {
        const double ms = 1e3 * double(requestsAhead(waiting)) / rate;
        retryAfter += std::chrono::milliseconds(static_cast<std::int64_t>(ms));
    }
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(waiting.request.deadline - now);
    constexpr int RetryTimeDivisor = 3; // callers retry within a third of their remaining time
    retryAfter = std::min({ retryAfter, m_settings.maxRetryAfter, remaining / RetryTimeDivisor });
    retryAfter = std::max(retryAfter, std::chrono::milliseconds(0));
    m_actions.emplace_back(RefuseRequest { waiting.request.id, reason, retryAfter });
}

/// Refuses a request for which capacity returns after a known time. Callers are told different
/// times after that, so that they do not all return at once.
void RequestScheduler::refuseUntil(const QueuedRequest &waiting, const char *reason, Duration wait)
{
    const ServingRequest &request = waiting.request;
    const double spread = m_settings.retrySpread * double(wait.count())
            * double(hashPair(request.id, waiting.key) % SpreadSteps) / double(SpreadSteps);
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
            wait + Duration(static_cast<Duration::rep>(spread)));
    m_actions.emplace_back(RefuseRequest { request.id, reason, retryAfter });
}

/// Refuses a request if all replicas that could run it asked for pauses beyond its queue deadline.
/// @return whether it was refused
bool RequestScheduler::refuseIfPaused(const QueuedRequest &waiting, Instant now)
{
    if (waiting.cause != NoReplica::Unusable)
        return false;
    const ServingRequest &request = waiting.request;
    const Instant end = m_table.pauseEnd(request.service, request.model, request.adapter, now);
    if (end <= waiting.queueDeadline)
        return false;
    refuseUntil(waiting, "paused", end - now);
    return true;
}

/// Refuses a request if this node's share of the request limits of all replicas that could run it
/// comes after its queue deadline, or if it has none: then another node has it.
/// @return whether it was refused
bool RequestScheduler::refuseIfLimited(const QueuedRequest &waiting, Instant now)
{
    if (waiting.cause != NoReplica::Limited)
        return false;
    const ServingRequest &request = waiting.request;
    const RequestLimits &limits = m_table.limits();
    Instant earliest = Instant::max();
    double sharePerSecond = 0.0;
    Duration interval = Duration::max(); // between the requests of all nodes
    for (const std::string &id : m_table.replicasOfModel(request.service, request.model)) {
        const ReplicaRow *row = m_table.find(id);
        if (!m_table.isUsable(*row, now) || contains(waiting.excluded, id)
            || (!request.model.empty()
                && !m_table.holds(*row, request.model, request.adapter, now)))
            continue;
        earliest = std::min(earliest, limits.nextSendAt(id, now));
        sharePerSecond += limits.share(id, now).value_or(0.0);
        interval = std::min(interval, limits.interval(id));
    }
    if (interval == Duration::max())
        return false; // no replica is usable any more; the next try tells why
    if (earliest == Instant::max()) {
        refuseUntil(waiting, "limited", interval);
        return true;
    }
    std::size_t ahead = requestsAhead(waiting);
    if (m_serviceById.contains(request.id))
        ahead--; // it is queued itself
    Instant expected = earliest;
    if (sharePerSecond > 0.0)
        expected += Duration(static_cast<Duration::rep>(1e6 * double(ahead) / sharePerSecond));
    if (expected <= waiting.queueDeadline)
        return false;
    refuseUntil(waiting, "limited", expected - now);
    return true;
}

void RequestScheduler::requestCopy(const ServingRequest &request, Instant now)
{
    Instant &nextRequestAt = m_nextCopyRequestAt[copyKey(request)];
    if (now < nextRequestAt)
        return;
    nextRequestAt = now + m_settings.copyRequestInterval;
    m_actions.emplace_back(CopyRequest { request.service, request.model, request.adapter });
}

} // namespace burdock
