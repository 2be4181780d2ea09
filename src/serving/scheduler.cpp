#include "serving/scheduler.h"

#include <algorithm>
#include <utility>

namespace burdock {

namespace {

std::string rateKey(const ServingRequest &request)
{
    return request.service + "/" + copyName(request.model, request.adapter);
}

/// Whether `left` is started before `right`.
bool goesBefore(const ServingRequest &left, const ServingRequest &right)
{
    if (left.priority != right.priority)
        return left.priority < right.priority;
    return left.objective < right.objective;
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
                              bool attempted, Instant now)
{
    Waiting waiting {
        request, rateKey(request), promptChain(request), std::move(excluded), attempted, now, {}
    };
    if (tryStart(waiting, now))
        return;
    enqueue(std::move(waiting), now);
}

bool RequestScheduler::tryStart(Waiting &waiting, Instant now)
{
    ChooserAnswer answer = m_chooser.choose(waiting.request, waiting.chain, waiting.excluded, now);
    if (const auto *none = std::get_if<NoReplica>(&answer)) {
        waiting.cause = *none;
        if (*none == NoReplica::NotHeld && !waiting.request.model.empty())
            want(waiting.request, now);
        return false;
    }
    auto &choice = std::get<ReplicaChoice>(answer);
    m_table.onSent(choice.id, choice.freshTokens, now);
    m_chooser.onSent(waiting.request, waiting.chain, choice);
    if (const auto rate = m_rates.find(waiting.key);
        rate != m_rates.end() && rate->second.waiting > 0)
        rate->second.starts++;
    m_actions.emplace_back(
            StartRequest { waiting.request.id, std::move(choice), now - waiting.since });
    return true;
}

Instant RequestScheduler::patience(const Waiting &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const Duration left = request.deadline - now;
    const auto share = [&](double part) {
        return now + Duration(static_cast<Duration::rep>(double(left.count()) * part));
    };
    switch (waiting.cause) {
    case NoReplica::NotHeld: {
        const Instant expected = m_table.copyExpectedAt(
                request.service, copyName(request.model, request.adapter), now);
        const Instant latest = share(m_settings.placingShare);
        const Instant news = std::min(now + m_settings.orderWait, latest);
        return expected < latest ? latest : news;
    }
    case NoReplica::Unusable:
        return std::min(now + m_settings.unusableWait, share(m_settings.placingShare));
    case NoReplica::Full:
        break;
    }
    return std::max(std::min(request.objective, request.deadline), share(m_settings.lateShare));
}

/// A load may have been ordered since the request began to wait.
Instant RequestScheduler::extendedPatience(const Waiting &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const Duration whole = request.deadline - request.arrived;
    const Instant latest = request.arrived
            + Duration(static_cast<Duration::rep>(double(whole.count()) * m_settings.placingShare));
    const Instant expected =
            m_table.copyExpectedAt(request.service, copyName(request.model, request.adapter), now);
    return expected < latest ? latest : now;
}

std::size_t RequestScheduler::aheadOf(const Waiting &waiting) const
{
    const auto queue = m_queues.find(waiting.request.service);
    if (queue == m_queues.end())
        return 0;
    std::size_t ahead = 0;
    for (const Waiting &other : queue->second) {
        if (other.key == waiting.key && !goesBefore(waiting.request, other.request))
            ++ahead;
    }
    return ahead;
}

/// @return time that the replicas need for the prompts queued before a request, all of them
/// together
Duration RequestScheduler::promptsAhead(const Waiting &waiting, Instant now) const
{
    const ServingRequest &request = waiting.request;
    const ReplicaRow *holder = nullptr;
    int holders = 0;
    Duration shortest = Duration::max();
    for (const std::string &id : m_table.ofService(request.service)) {
        const ReplicaRow *row = m_table.find(id);
        if (!m_table.usable(*row, now) || !m_table.holds(*row, request.model, request.adapter, now))
            continue;
        holder = row;
        holders++;
        shortest = std::min(shortest, m_table.prefillAhead(*row, now));
    }
    if (holder == nullptr)
        return {};
    Duration queued {};
    for (const Waiting &other : m_queues.at(request.service)) {
        if (other.key == waiting.key && !goesBefore(request, other.request))
            queued += m_table.prefillTime(*holder, other.request.promptTokens);
    }
    return shortest + queued / holders;
}

Duration RequestScheduler::expectedWait(const Waiting &waiting, Instant now) const
{
    Duration wait {};
    if (!waiting.request.model.empty() && m_queues.contains(waiting.request.service))
        wait = promptsAhead(waiting, now);
    if (const double rate = startsPerSecond(waiting.key); rate > 0.0) {
        const double byRate = 1e6 * double(aheadOf(waiting) + 1) / rate;
        wait = std::max(wait, Duration(static_cast<Duration::rep>(byRate)));
    }
    return wait;
}

double RequestScheduler::startsPerSecond(const std::string &key) const
{
    const auto rate = m_rates.find(key);
    if (rate == m_rates.end() || rate->second.smoothedBacklog < m_settings.leastBacklog)
        return 0.0;
    return rate->second.smoothedStarts / rate->second.smoothedBacklog;
}

void RequestScheduler::enqueue(Waiting waiting, Instant now)
{
    waiting.giveUpAt = patience(waiting, now);
    if (m_where.size() >= m_settings.mostQueued) {
        refuse(waiting, "queue_full", now);
        return;
    }
    if (waiting.cause == NoReplica::Full && !waiting.attempted) {
        const Instant expected = now + expectedWait(waiting, now);
        if (expected > std::min(waiting.request.objective, waiting.giveUpAt)) {
            refuse(waiting, "overload", now);
            return;
        }
    }
    Queue &queue = m_queues[waiting.request.service];
    const auto place = std::find_if(queue.begin(), queue.end(), [&](const Waiting &other) {
        return goesBefore(waiting.request, other.request);
    });
    m_where[waiting.request.id] = waiting.request.service;
    m_rates[waiting.key].waiting++;
    queue.insert(place, std::move(waiting));
}

/// Takes a request out of its queue.
RequestScheduler::Queue::iterator RequestScheduler::dequeue(Queue &queue, Queue::iterator place)
{
    m_where.erase(place->request.id);
    m_rates[place->key].waiting--;
    return queue.erase(place);
}

void RequestScheduler::cancel(std::uint64_t id)
{
    const auto where = m_where.find(id);
    if (where == m_where.end())
        return;
    Queue &queue = m_queues[where->second];
    const auto place = std::find_if(queue.begin(), queue.end(), [&](const Waiting &waiting) {
        return waiting.request.id == id;
    });
    dequeue(queue, place);
}

// ---- Time ---------------------------------------------------------------------------------------

void RequestScheduler::pump(Instant now)
{
    if (m_where.empty())
        return;
    for (auto &[service, queue] : m_queues) {
        std::unordered_set<std::string> stuck; // copies without room: no need to ask again
        // Behind a long queue everybody would be late: those who can still be on time go first.
        pumpQueue(queue, stuck, false, now);
        pumpQueue(queue, stuck, true, now);
    }
}

void RequestScheduler::pumpQueue(Queue &queue, std::unordered_set<std::string> &stuck, bool late,
                                 Instant now)
{
    for (auto each = queue.begin(); each != queue.end();) {
        const bool isLate = now >= each->request.objective;
        if (isLate != late || (each->excluded.empty() && stuck.contains(each->key))) {
            ++each;
            continue;
        }
        if (!tryStart(*each, now)) {
            if (each->excluded.empty())
                stuck.insert(each->key);
            ++each;
            continue;
        }
        each = dequeue(queue, each);
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
    constexpr double NewestWeight = 0.5;
    constexpr double Forgotten = 0.01; // seconds of a window
    for (auto each = m_rates.begin(); each != m_rates.end();) {
        Rate &rate = each->second;
        const double backlogged = double(std::exchange(rate.backlogged, Duration {}).count()) / 1e6;
        rate.smoothedStarts += NewestWeight * (std::exchange(rate.starts, 0) - rate.smoothedStarts);
        rate.smoothedBacklog += NewestWeight * (backlogged - rate.smoothedBacklog);
        const bool isIdle = rate.waiting == 0 && rate.smoothedBacklog < Forgotten;
        each = isIdle ? m_rates.erase(each) : std::next(each);
    }
}

void RequestScheduler::tick(Instant now)
{
    measureRates(now);
    std::erase_if(m_wants, [&](const auto &entry) { return now >= entry.second; });
    pump(now);
    for (auto &[service, queue] : m_queues) {
        for (auto each = queue.begin(); each != queue.end();) {
            if (now >= each->giveUpAt && each->cause == NoReplica::NotHeld)
                each->giveUpAt = std::max(each->giveUpAt, extendedPatience(*each, now));
            if (now < each->giveUpAt) {
                ++each;
                continue;
            }
            static constexpr const char *Reasons[] = { "not_resident", "no_replica", "overload" };
            refuse(*each, Reasons[static_cast<std::size_t>(each->cause)], now);
            each = dequeue(queue, each);
        }
    }
}

// ---- Actions ------------------------------------------------------------------------------------

void RequestScheduler::refuse(const Waiting &waiting, const char *reason, Instant now)
{
    const double rate = startsPerSecond(waiting.key);
    std::chrono::milliseconds after = m_settings.retryAfterMin;
    if (rate > 0.0) {
        const double ms = 1e3 * double(aheadOf(waiting)) / rate;
        after += std::chrono::milliseconds(static_cast<std::int64_t>(ms));
    }
    const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(waiting.request.deadline - now);
    constexpr int Thirds = 3; // callers come back within a third of the time they have left
    after = std::min({ after, m_settings.retryAfterMax, left / Thirds });
    after = std::max(after, std::chrono::milliseconds(0));
    m_actions.emplace_back(RefuseRequest { waiting.request.id, reason, after });
}

void RequestScheduler::want(const ServingRequest &request, Instant now)
{
    Instant &next = m_wants[rateKey(request)];
    if (now < next)
        return;
    next = now + m_settings.wantRepeat;
    m_actions.emplace_back(WantCopy { request.service, request.model, request.adapter });
}

} // namespace burdock
