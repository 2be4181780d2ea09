#include "decide/admission.h"

#include "base/hashing.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

const std::string AllCustomers = "*"; // queue name where all customers share one queue

int startCost(const QueuedRequest &request)
{
    constexpr int OverheadTokens = 100; // cost of a request in tokens, in addition to its prompt
    return OverheadTokens + request.routing.promptTokens;
}

} // namespace

std::size_t classPriority(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Fast:
        return 0;
    case RequestClass::AtMostOnce:
        return 1;
    case RequestClass::MayWait:
        return 2;
    }
    return 2;
}

Admission::Admission(AdmissionSettings settings)
    : m_settings(settings)
{
    assert(settings.lowerClassInterval > 1
           && "lowerClassInterval must be above 1: higher classes get most of the starts");
}

const std::string &Admission::queueNameOf(const std::string &customer) const
{
    return m_settings.fairCustomers ? customer : AllCustomers;
}

std::size_t Admission::queued(const std::string &key, RequestClass requestClass) const
{
    const auto entry = m_keys.find(key);
    return entry == m_keys.end() ? 0 : entry->second.classes[classPriority(requestClass)].size;
}

// ---- Arrival ------------------------------------------------------------------------------------

Duration Admission::expectedWait(const RoutingRequest &request) const
{
    const auto entry = m_keys.find(request.key);
    if (entry == m_keys.end())
        return Duration::zero();
    const std::size_t priority = classPriority(request.requestClass);
    const ClassQueue &own = entry->second.classes[priority];
    if (own.size == 0 || own.startsPerSecond <= 0.0)
        return Duration::zero();

    const auto customer = own.customers.find(queueNameOf(request.customer));
    const std::size_t requestsAhead =
            customer == own.customers.end() ? 0 : customer->second.requests.size();
    const std::size_t startsByTurns =
            (requestsAhead + 1) * std::max<std::size_t>(1, own.customers.size());
    constexpr double MaxWaitSeconds = 3600.0; // caps the estimate when the drain rate is close to 0
    const double seconds = std::min(
            MaxWaitSeconds, double(std::min(own.size, startsByTurns)) / own.startsPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool Admission::offer(const QueuedRequest &request, Instant now)
{
    assert(m_positions.count(request.routing.id) == 0 && "request ids must be unique on this node");
    const Duration wait = expectedWait(request.routing);
    if (now + wait >= request.deadline) {
        refuse(request, "deadline_cannot_be_met", wait, now);
        return false;
    }
    const std::size_t priority = classPriority(request.routing.requestClass);
    ClassQueue &queue = m_keys[request.routing.key].classes[priority];
    if (!ensureCapacity(request, queue, now)) {
        refuse(request, "queue_full", wait, now);
        return false;
    }
    const std::string &customer = queueNameOf(request.routing.customer);
    CustomerQueue &own = queue.customers[customer];
    if (own.requests.empty())
        queue.turns.push_back(customer);
    own.requests.push_back(request);
    queue.size++;
    m_positions[request.routing.id] = { request.routing.key, priority, customer };
    return true;
}

bool Admission::ensureCapacity(const QueuedRequest &request, ClassQueue &queue, Instant now)
{
    if (m_positions.size() >= m_settings.maxTotal)
        return false;
    if (queue.size < m_settings.maxPerKey)
        return true;
    // The queue is full: the customer with the most requests in it loses its newest one to a
    // customer with fewer.
    const auto largest = std::max_element(
            queue.customers.begin(), queue.customers.end(), [](const auto &a, const auto &b) {
                return a.second.requests.size() < b.second.requests.size();
            });
    const auto own = queue.customers.find(queueNameOf(request.routing.customer));
    const std::size_t held = own == queue.customers.end() ? 0 : own->second.requests.size();
    if (largest == queue.customers.end() || largest->second.requests.size() <= held + 1)
        return false;
    const QueuedRequest last = largest->second.requests.back();
    refuse(last, "gave_way_to_other_customer", expectedWait(last.routing), now);
    const std::string name = largest->first;
    removeAt(queue, name, largest->second.requests.size() - 1);
    return true;
}

void Admission::refuse(const QueuedRequest &request, const std::string &reason, Duration wait,
                       Instant now)
{
    const Duration allowed = std::max(Duration::zero(), request.deadline - now);
    const Duration excess =
            std::clamp(wait - allowed, m_settings.retryAfterMin, m_settings.retryAfterMax);
    // A jitter of up to a quarter of the wait prevents callers that are refused at the same time
    // from retrying at the same time.
    constexpr int JitterSteps = 256;
    const auto step = static_cast<Duration::rep>(
            hashPair(request.routing.id, request.routing.customer) % JitterSteps);
    const Duration jitter = excess * step / (4 * JitterSteps);

    Refusal refusal;
    refusal.id = request.routing.id;
    refusal.code = request.mayHaveRun ? ResultCode::UpstreamFailed : ResultCode::RefusedOverload;
    refusal.notRun = !request.mayHaveRun;
    refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(excess + jitter);
    refusal.reason = reason;
    m_refusals.push_back(refusal);
}

// ---- Removal ------------------------------------------------------------------------------------

void Admission::removeAt(ClassQueue &queue, const std::string &customer, std::size_t index)
{
    const auto entry = queue.customers.find(customer);
    assert(entry != queue.customers.end() && "the customer must have requests queued");
    std::deque<QueuedRequest> &requests = entry->second.requests;
    m_positions.erase(requests[index].routing.id);
    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(index));
    queue.size--;
    if (!requests.empty())
        return;
    std::erase(queue.turns, customer);
    queue.customers.erase(entry);
}

bool Admission::cancel(std::uint64_t id)
{
    const auto entry = m_positions.find(id);
    if (entry == m_positions.end())
        return false;
    const QueuePosition position = entry->second;
    ClassQueue &queue = m_keys[position.key].classes[position.priority];
    const std::deque<QueuedRequest> &requests = queue.customers[position.customer].requests;
    const auto found = std::find_if(requests.begin(), requests.end(),
                                    [&](const auto &each) { return each.routing.id == id; });
    assert(found != requests.end() && "m_positions must name the queue that holds the request");
    removeAt(queue, position.customer, static_cast<std::size_t>(found - requests.begin()));
    return true;
}

std::vector<Refusal> Admission::takeRefusals()
{
    return std::exchange(m_refusals, {});
}

// ---- Starting -----------------------------------------------------------------------------------

void Admission::rotateTurns(ClassQueue &queue)
{
    queue.turns.push_back(queue.turns.front());
    queue.turns.pop_front();
}

bool Admission::startOne(KeyQueues &queues, std::size_t priority, bool mayUseReservedSlots,
                         RequestStarter &starter, Instant now)
{
    ClassQueue &queue = queues.classes[priority];
    std::size_t skipped = 0; // customers whose first request cannot start now
    while (skipped < queue.turns.size()) {
        const std::string customer = queue.turns.front();
        CustomerQueue &own = queue.customers[customer];
        QueuedRequest &first = own.requests.front();
        if (own.deficit < startCost(first)) {
            own.deficit += m_settings.quantum;
            rotateTurns(queue);
            continue;
        }
        first.routing.mayUseReservedSlots = mayUseReservedSlots;
        const StartResult result = starter.tryStart(first, now);
        // A request with exclusions has fewer upstreams than others of its queue, which may start.
        const bool hasExclusions = !first.routing.excluded.empty();
        if (result == StartResult::NoFreeSlot && !hasExclusions)
            return false;
        if (result != StartResult::Started) {
            rotateTurns(queue);
            skipped++;
            continue;
        }
        own.deficit -= startCost(first);
        queue.startsInWindow++;
        removeAt(queue, customer, 0);
        return true;
    }
    return false;
}

bool Admission::hasLowerClass(const KeyQueues &queues, std::size_t priority)
{
    return std::any_of(queues.classes.begin() + static_cast<std::ptrdiff_t>(priority) + 1,
                       queues.classes.end(),
                       [](const ClassQueue &queue) { return queue.size > 0; });
}

bool Admission::startLowerClass(KeyQueues &queues, RequestStarter &starter, Instant now)
{
    for (std::size_t priority = ClassCount - 1; priority > 0; --priority) {
        if (startOne(queues, priority, true, starter, now))
            return true;
    }
    return false;
}

void Admission::startQueuedForKey(const std::string &key, RequestStarter &starter, Instant now)
{
    const auto entry = m_keys.find(key);
    if (entry == m_keys.end())
        return;
    KeyQueues &queues = entry->second;
    bool started = true;
    while (started) {
        started = false;
        if (queues.startsUntilLowerClass <= 0 && startLowerClass(queues, starter, now)) {
            queues.startsUntilLowerClass = m_settings.lowerClassInterval;
            started = true;
            continue;
        }
        for (std::size_t priority = 0; priority < ClassCount && !started; ++priority) {
            started = startOne(queues, priority, false, starter, now);
            if (started && hasLowerClass(queues, priority) && queues.startsUntilLowerClass > 0)
                queues.startsUntilLowerClass--;
        }
    }
}

void Admission::startQueued(RequestStarter &starter, Instant now)
{
    std::vector<std::string> keys;
    for (const auto &[key, queues] : m_keys) {
        const auto hasRequests = [](const ClassQueue &queue) {
            return queue.size > 0;
        };
        if (std::any_of(queues.classes.begin(), queues.classes.end(), hasRequests))
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    const auto begin = std::upper_bound(keys.begin(), keys.end(), m_lastKey);
    std::rotate(keys.begin(), begin, keys.end());
    m_lastKey = keys.front();
    for (const std::string &key : keys)
        startQueuedForKey(key, starter, now);
}

// ---- Time ---------------------------------------------------------------------------------------

void Admission::expire(ClassQueue &queue, Instant now)
{
    std::vector<std::string> customers(queue.turns.begin(), queue.turns.end());
    for (const std::string &customer : customers) {
        // Iterates by index from the back, because removeAt() invalidates iterators and removes the
        // customer's queue with its last request.
        for (std::size_t left = queue.customers[customer].requests.size(); left > 0; --left) {
            const QueuedRequest &each = queue.customers[customer].requests[left - 1];
            if (each.deadline > now)
                continue;
            refuse(each, "deadline_passed", expectedWait(each.routing), now);
            removeAt(queue, customer, left - 1);
        }
    }
}

void Admission::updateDrainRate(ClassQueue &queue, double seconds)
{
    constexpr double Smoothing = 0.5;
    const double rate = queue.startsInWindow / seconds;
    if (queue.hadBacklog) { // otherwise starts are limited by arrivals, not by the upstreams
        queue.startsPerSecond = queue.startsPerSecond <= 0.0
                ? rate
                : queue.startsPerSecond * (1.0 - Smoothing) + rate * Smoothing;
    }
    queue.startsInWindow = 0;
    queue.hadBacklog = queue.size > 0;
    if (!queue.hadBacklog)
        queue.startsPerSecond = 0.0;
}

void Admission::tick(Instant now)
{
    const bool windowEnds = now >= m_windowEnd;
    const double seconds = std::chrono::duration<double>(m_settings.rateWindow).count();
    for (auto &[key, queues] : m_keys) {
        for (ClassQueue &queue : queues.classes) {
            expire(queue, now);
            if (windowEnds)
                updateDrainRate(queue, seconds);
        }
    }
    if (windowEnds)
        m_windowEnd = now + m_settings.rateWindow;
    std::erase_if(m_keys, [](const auto &entry) {
        const auto isIdle = [](const ClassQueue &queue) {
            return queue.size == 0 && queue.startsPerSecond <= 0.0;
        };
        return std::all_of(entry.second.classes.begin(), entry.second.classes.end(), isIdle);
    });
}

} // namespace burdock
