#include "serving/scheduler.h"

#include "base/hashing.h"
#include "base/text.h"

#include <algorithm>
#include <numeric>
#include <string_view>
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
    if (!isBehindOthers(waiting, now) && tryStart(waiting, now))
        return;
    enqueue(std::move(waiting), now);
}

/// @return whether a new request has to let those of its rank go first that wait for capacity at
/// the same copy. Otherwise whoever sends most takes each capacity that comes free before the next
/// pump(), and short prompts overtake a long one for as long as they keep coming.
bool RequestScheduler::isBehindOthers(const QueuedRequest &newcomer, Instant now) const
{
    if (newcomer.request.organisation.empty())
        return false;
    const auto rate = m_rates.find(newcomer.key);
    if (rate == m_rates.end() || rate->second.waiting == 0)
        return false;
    const Queue &queue = m_queues.at(newcomer.request.service);
    return std::any_of(queue.begin(), queue.end(), [&](const QueuedRequest &waiting) {
        return waiting.key == newcomer.key && waiting.cause == NoReplica::Full
                && waiting.excluded.empty() && waiting.request.priority <= newcomer.request.priority
                && now < waiting.request.firstByteObjective;
    });
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
    m_shares[waiting.request.service].onStarted(waiting.request.organisation,
                                                FairShare::cost(waiting.request.promptTokens), now);
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
    const Instant latest =
            std::min(request.deadline, request.firstByteDeadline) - m_settings.callerMargin;
    return std::max(std::min(request.firstByteObjective, latest),
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

/// @param reader the replica whose time to read prompts counts; null: none
/// @return the queued requests for the same copy that are started before this one: those of a more
/// urgent rank, those of its own organisation before it in the queue, and of each other
/// organisation of its rank as many as take turns with these
RequestScheduler::RequestsAhead RequestScheduler::requestsAhead(const QueuedRequest &waiting,
                                                                const ReplicaRow *reader,
                                                                Instant now) const
{
    struct Other
    {
        RequestsAhead requests;
        double cost = 0.0;
    };
    RequestsAhead ahead;
    const ServingRequest &request = waiting.request;
    const auto queue = m_queues.find(request.service);
    if (queue == m_queues.end())
        return ahead;
    const auto add = [&](RequestsAhead &sum, const ServingRequest &each) {
        sum.count += 1.0;
        if (reader != nullptr)
            sum.readTimeUs += double(m_table.prefillTime(*reader, each.promptTokens, now).count());
    };
    std::unordered_map<std::string_view, Other> others; // organisations of its rank
    double ownCost = 0.0;
    for (const QueuedRequest &each : queue->second) {
        if (each.request.priority > request.priority)
            break;
        if (each.key != waiting.key || each.request.id == request.id)
            continue;
        const double cost = FairShare::cost(each.request.promptTokens);
        if (each.request.priority == request.priority
            && each.request.organisation != request.organisation) {
            Other &other = others[each.request.organisation];
            add(other.requests, each.request);
            other.cost += cost;
        } else if (!hasPrecedence(request, each.request)) {
            add(ahead, each.request);
            if (each.request.priority == request.priority)
                ownCost += cost;
        }
    }
    const auto found = m_shares.find(request.service);
    if (found == m_shares.end())
        return ahead;
    const double own = found->second.startedLately(request.organisation, now) + ownCost;
    for (const auto &[organisation, other] : others) {
        const double theirs = found->second.startedLately(std::string(organisation), now);
        if (theirs > own)
            continue;
        // Its turns end with the request that takes its count above this organisation's.
        const double turns = own - theirs + other.cost / other.requests.count;
        const double share = std::min(1.0, turns / other.cost);
        ahead.count += share * other.requests.count;
        ahead.readTimeUs += share * other.requests.readTimeUs;
    }
    return ahead;
}

/// @return the usable replicas that hold the request's copy, as one
RequestScheduler::Readers RequestScheduler::readersOf(const ServingRequest &request,
                                                      Instant now) const
{
    Readers readers;
    if (request.model.empty())
        return readers;
    readers.isCopyHeld = false;
    Duration minPrefillAhead = Duration::max();
    int count = 0;
    double speed = 0.0; // sum of all, one with the usual work time counts 1
    for (const std::string &id : m_table.replicasOfModel(request.service, request.model)) {
        const ReplicaRow *row = m_table.find(id);
        if (!m_table.holds(*row, request.model, request.adapter, now))
            continue;
        readers.isCopyHeld = true;
        if (!m_table.isUsable(*row, now))
            continue;
        readers.row = row;
        count++;
        speed += 1.0 / m_table.workRatio(*row, now);
        minPrefillAhead = std::min(minPrefillAhead, m_table.prefillAhead(*row, now));
    }
    if (readers.row == nullptr)
        return readers;
    readers.prefillAhead = minPrefillAhead;
    if (readers.row->statesWorkTime) // then replicas differ more, and from moment to moment
        readers.speed = speed * m_table.workRatio(*readers.row, now);
    else
        readers.speed = count;
    return readers;
}

/// @return the longer of two estimates: the shortest prefill time assigned to a usable replica that
/// holds the copy, plus the read time of the prompts ahead at all of these; and from the start rate
WaitPrediction RequestScheduler::predict(const RequestsAhead &ahead, const Readers &readers,
                                         double startsPerSecond)
{
    WaitPrediction prediction { {}, ahead.count, startsPerSecond };
    if (readers.row != nullptr)
        prediction.wait = readers.prefillAhead
                + Duration(static_cast<Duration::rep>(ahead.readTimeUs / readers.speed));
    if (startsPerSecond > 0.0) {
        const double byRate = 1e6 * (ahead.count + 1.0) / startsPerSecond;
        prediction.wait = std::max(prediction.wait, Duration(static_cast<Duration::rep>(byRate)));
    }
    return prediction;
}

/// @return the expected queueing time of a request
WaitPrediction RequestScheduler::expectedWait(const QueuedRequest &waiting, Instant now) const
{
    const bool hasQueue = m_queues.contains(waiting.request.service);
    const Readers readers = hasQueue ? readersOf(waiting.request, now) : Readers {};
    return predict(requestsAhead(waiting, readers.row, now), readers, startsPerSecond(waiting.key));
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
    const bool isFull = m_serviceById.size() >= m_settings.maxQueued;
    if (isFull && waiting.request.organisation.empty()) {
        refuse(waiting, "queue_full", now);
        return;
    }
    if (refuseIfPaused(waiting, now) || refuseIfLimited(waiting, now))
        return;
    if (waiting.cause == NoReplica::Full && !waiting.isRetry) {
        const Instant expected = now + expectedWait(waiting, now).wait;
        if (expected > std::min(waiting.request.firstByteObjective, waiting.queueDeadline)) {
            refuse(waiting, "overload", now);
            return;
        }
    }
    if (isFull && !makeRoom(waiting, now)) {
        refuse(waiting, "queue_full", now);
        return;
    }
    if (waiting.cause == NoReplica::NotResident)
        waiting.copyState = CopyState::Awaited;
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
    const auto isSelected = [&](const QueuedRequest &waiting) {
        return (now >= waiting.request.firstByteObjective) == late;
    };
    const auto start = [&](Queue::iterator position) {
        if (position->excluded.empty() && blocked.contains(position->key))
            return false;
        if (!tryStart(*position, now)) {
            if (position->excluded.empty())
                blocked.insert(position->key);
            return false;
        }
        dequeue(queue, position);
        return true;
    };
    visitInOrder(queue, isSelected, start, now);
}

/// Visits requests in the order in which they are to be started: rank by rank, within a rank always
/// the first one of the organisation that has had the least lately.
void RequestScheduler::visitInOrder(Queue &queue, const Selection &selection, const Visit &visit,
                                    Instant now)
{
    struct Turn
    {
        Queue::iterator position;
        std::size_t index = 0; // in the queue's order
        double cost = 0.0;
    };
    struct Line // the requests of one organisation
    {
        double started = 0.0;
        std::vector<Turn> turns;
        std::size_t next = 0;
    };
    const auto found =
            queue.empty() ? m_shares.end() : m_shares.find(queue.front().request.service);
    const auto startedLately = [&](const std::string &organisation) {
        return found == m_shares.end() ? 0.0 : found->second.startedLately(organisation, now);
    };
    for (auto position = queue.begin(); position != queue.end();) {
        const int priority = position->request.priority;
        std::unordered_map<std::string_view, std::size_t> indexes; // of lines by organisation
        std::vector<Line> lines;
        const std::string *latest = nullptr;
        std::size_t line = 0;
        std::size_t index = 0;
        for (; position != queue.end() && position->request.priority == priority; ++position) {
            if (!selection(*position))
                continue;
            const std::string &organisation = position->request.organisation;
            if (latest == nullptr || *latest != organisation) {
                line = indexes.try_emplace(organisation, lines.size()).first->second;
                if (line == lines.size())
                    lines.push_back({ startedLately(organisation), {}, 0 });
                latest = &organisation;
            }
            lines[line].turns.push_back(
                    { position, index++, FairShare::cost(position->request.promptTokens) });
        }
        const auto isAfter = [&](std::size_t left, std::size_t right) {
            const Line &a = lines[left];
            const Line &b = lines[right];
            if (a.started != b.started)
                return a.started > b.started;
            return a.turns[a.next].index > b.turns[b.next].index;
        };
        std::vector<std::size_t> heap(lines.size()); // the line whose turn it is comes first
        std::iota(heap.begin(), heap.end(), std::size_t(0));
        std::make_heap(heap.begin(), heap.end(), isAfter);
        while (!heap.empty()) {
            std::pop_heap(heap.begin(), heap.end(), isAfter);
            Line &first = lines[heap.back()];
            const Turn turn = first.turns[first.next++];
            if (visit(turn.position))
                first.started += turn.cost;
            if (first.next < first.turns.size())
                std::push_heap(heap.begin(), heap.end(), isAfter);
            else
                heap.pop_back();
        }
    }
}

/// Refuses the last request of the organisation that has most requests in the newcomer's queue, if
/// it has more than the newcomer's and is of no more urgent rank: an organisation that fills the
/// queue must not keep others out of it.
/// @return whether there is room now
bool RequestScheduler::makeRoom(const QueuedRequest &newcomer, Instant now)
{
    struct Line
    {
        std::size_t requests = 0;
        std::optional<Queue::iterator> last; // that had no attempt
    };
    std::unordered_map<std::string_view, Line> lines;
    Queue &queue = m_queues[newcomer.request.service];
    for (auto position = queue.begin(); position != queue.end(); ++position) {
        Line &line = lines[position->request.organisation];
        line.requests++;
        if (!position->isRetry)
            line.last = position;
    }
    const std::size_t own = lines[newcomer.request.organisation].requests;
    const auto longest =
            std::max_element(lines.begin(), lines.end(), [](const auto &left, const auto &right) {
                return left.second.requests < right.second.requests;
            });
    if (!longest->second.last || longest->second.requests <= own + 1
        || (*longest->second.last)->request.priority < newcomer.request.priority)
        return false;
    const Queue::iterator last = *longest->second.last;
    refuse(*last, "queue_full", now);
    dequeue(queue, last);
    return true;
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
    for (auto &[service, share] : m_shares)
        share.tick(now);
    std::erase_if(m_shares, [](const auto &entry) { return entry.second.size() == 0; });
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
    if (now < m_nextReviewAt)
        return;
    m_nextReviewAt = now + m_settings.reviewInterval;
    for (auto &[service, queue] : m_queues)
        reviewQueue(queue, now);
}

/// Lets a request whose copy was lost wait only as long as one that arrives now, until a load is
/// ordered; it waits as before if the copy comes back.
void RequestScheduler::noteCopyState(QueuedRequest &waiting, bool isCopyHeld, Instant now) const
{
    if (!isCopyHeld && waiting.copyState == CopyState::Held) {
        waiting.copyState = CopyState::Lost;
        waiting.cause = NoReplica::NotResident;
        waiting.queueDeadline = std::min(waiting.queueDeadline, initialQueueDeadline(waiting, now));
    } else if (isCopyHeld && waiting.copyState == CopyState::Lost) {
        waiting.copyState = CopyState::Held;
        waiting.cause = NoReplica::Full;
        waiting.queueDeadline = std::max(waiting.queueDeadline, initialQueueDeadline(waiting, now));
    }
}

/// Refuses queued requests that can no longer be started by their queue deadline, because there is
/// less capacity than when they arrived or more urgent requests came. The requests that stay are
/// counted ahead of the others, those that are refused are not. The next one of each copy stays: it
/// is started as soon as there is any capacity.
void RequestScheduler::reviewQueue(Queue &queue, Instant now)
{
    struct Copy
    {
        Readers readers;
        double startsPerSecond = 0.0;
        RequestsAhead ahead;
    };
    std::unordered_map<std::string_view, Copy> copies; // by key
    std::vector<Queue::iterator> hopeless;
    const auto review = [&](Queue::iterator position) {
        const auto [entry, isNew] = copies.try_emplace(position->key);
        Copy &copy = entry->second;
        if (isNew) {
            copy.readers = readersOf(position->request, now);
            copy.startsPerSecond = startsPerSecond(position->key);
        }
        noteCopyState(*position, copy.readers.isCopyHeld, now);
        if (position->cause == NoReplica::Full && !position->isRetry && copy.ahead.count > 0.0) {
            const Duration wait = predict(copy.ahead, copy.readers, copy.startsPerSecond).wait;
            const double left = double((position->queueDeadline - now).count());
            if (double(wait.count())
                > left * m_settings.reviewMargin + double(m_settings.reviewSlack.count())) {
                hopeless.push_back(position);
                return false;
            }
        }
        copy.ahead.count += 1.0;
        if (const ReplicaRow *row = copy.readers.row)
            copy.ahead.readTimeUs +=
                    double(m_table.prefillTime(*row, position->request.promptTokens, now).count());
        return true;
    };
    for (const bool late : { false, true }) {
        const auto isSelected = [&](const QueuedRequest &waiting) {
            return (now >= waiting.request.firstByteObjective) == late;
        };
        visitInOrder(queue, isSelected, review, now);
    }
    for (auto each = hopeless.rbegin(); each != hopeless.rend(); ++each) {
        refuse(**each, "overload", now);
        dequeue(queue, *each);
    }
}

// ---- Actions ------------------------------------------------------------------------------------

void RequestScheduler::refuse(const QueuedRequest &waiting, const char *reason, Instant now)
{
    const WaitPrediction prediction = expectedWait(waiting, now);
    std::chrono::milliseconds retryAfter = m_settings.minRetryAfter;
    if (prediction.startsPerSecond > 0.0) {
        const double own = m_serviceById.contains(waiting.request.id) ? 1.0 : 0.0;
        const double ms = 1e3 * (prediction.requestsAhead + own) / prediction.startsPerSecond;
        retryAfter += std::chrono::milliseconds(static_cast<std::int64_t>(ms));
    }
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(waiting.request.deadline - now);
    constexpr int RetryTimeDivisor = 3; // callers retry within a third of their remaining time
    retryAfter = std::min({ retryAfter, m_settings.maxRetryAfter, remaining / RetryTimeDivisor });
    retryAfter = std::max(retryAfter, std::chrono::milliseconds(0));
    m_actions.emplace_back(RefuseRequest { waiting.request.id, reason, retryAfter, prediction });
}

/// Refuses a request for which capacity returns after a known time. Callers are told different
/// times after that, so that they do not all return at once.
void RequestScheduler::refuseUntil(const QueuedRequest &waiting, const char *reason,
                                   const WaitPrediction &prediction)
{
    const ServingRequest &request = waiting.request;
    const double spread = m_settings.retrySpread * double(prediction.wait.count())
            * double(hashPair(request.id, waiting.key) % SpreadSteps) / double(SpreadSteps);
    const auto retryAfter = std::chrono::ceil<std::chrono::milliseconds>(
            prediction.wait + Duration(static_cast<Duration::rep>(spread)));
    m_actions.emplace_back(RefuseRequest { request.id, reason, retryAfter, prediction });
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
    refuseUntil(waiting, "paused", { end - now });
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
        refuseUntil(waiting, "limited", { interval });
        return true;
    }
    const double ahead = requestsAhead(waiting, nullptr, now).count;
    Instant expected = earliest;
    if (sharePerSecond > 0.0)
        expected += Duration(static_cast<Duration::rep>(1e6 * ahead / sharePerSecond));
    if (expected <= waiting.queueDeadline)
        return false;
    refuseUntil(waiting, "limited", { expected - now, ahead, sharePerSecond });
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
