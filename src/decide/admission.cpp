#include "decide/admission.h"

#include "base/hashing.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

const std::string Everyone = "*"; // stands for all customers where they share one queue

int startCost(const QueuedRequest &request)
{
    constexpr int Overhead = 100; // tokens that a request costs beside its prompt
    return Overhead + request.routing.promptTokens;
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
    assert(settings.lowerClassTurn > 1 && "the higher class needs most of the turns");
}

const std::string &Admission::fairName(const std::string &customer) const
{
    return m_settings.fairCustomers ? customer : Everyone;
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

    const auto customer = own.customers.find(fairName(request.customer));
    const std::size_t before =
            customer == own.customers.end() ? 0 : customer->second.requests.size();
    const std::size_t inTurns = (before + 1) * std::max<std::size_t>(1, own.customers.size());
    constexpr double LongestWait = 3600.0; // seconds
    const double seconds =
            std::min(LongestWait, double(std::min(own.size, inTurns)) / own.startsPerSecond);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

bool Admission::offer(const QueuedRequest &request, Instant now)
{
    assert(m_where.count(request.routing.id) == 0 && "give each request an id of its own");
    const Duration wait = expectedWait(request.routing);
    if (now + wait >= request.deadline) {
        refuse(request, "deadline_cannot_be_met", wait, now);
        return false;
    }
    const std::size_t priority = classPriority(request.routing.requestClass);
    ClassQueue &queue = m_keys[request.routing.key].classes[priority];
    if (!makeRoom(request, queue, now)) {
        refuse(request, "queue_full", wait, now);
        return false;
    }
    const std::string &customer = fairName(request.routing.customer);
    CustomerQueue &mine = queue.customers[customer];
    if (mine.requests.empty())
        queue.turns.push_back(customer);
    mine.requests.push_back(request);
    queue.size++;
    m_where[request.routing.id] = { request.routing.key, priority, customer };
    return true;
}

bool Admission::makeRoom(const QueuedRequest &request, ClassQueue &queue, Instant now)
{
    if (m_where.size() >= m_settings.maxTotal)
        return false;
    if (queue.size < m_settings.maxPerKey)
        return true;
    // The queue is full. The customer with most requests in it gives way to one with fewer.
    const auto most = std::max_element(
            queue.customers.begin(), queue.customers.end(), [](const auto &a, const auto &b) {
                return a.second.requests.size() < b.second.requests.size();
            });
    const auto mine = queue.customers.find(fairName(request.routing.customer));
    const std::size_t held = mine == queue.customers.end() ? 0 : mine->second.requests.size();
    if (most == queue.customers.end() || most->second.requests.size() <= held + 1)
        return false;
    const QueuedRequest last = most->second.requests.back();
    refuse(last, "gave_way_to_other_customer", expectedWait(last.routing), now);
    const std::string name = most->first;
    removeAt(queue, name, most->second.requests.size() - 1);
    return true;
}

void Admission::refuse(const QueuedRequest &request, const std::string &reason, Duration wait,
                       Instant now)
{
    const Duration allowed = std::max(Duration::zero(), request.deadline - now);
    const Duration excess =
            std::clamp(wait - allowed, m_settings.retryAfterMin, m_settings.retryAfterMax);
    // Callers who are refused together shall not come back together.
    constexpr int SpreadSteps = 256;
    const auto step = static_cast<Duration::rep>(
            hashPair(request.routing.id, request.routing.customer) % SpreadSteps);
    const Duration spread = excess * step / (4 * SpreadSteps);

    Refusal refusal;
    refusal.id = request.routing.id;
    refusal.code = request.mayHaveRun ? ResultCode::UpstreamFailed : ResultCode::RefusedOverload;
    refusal.notRun = !request.mayHaveRun;
    refusal.retryAfter = std::chrono::ceil<std::chrono::milliseconds>(excess + spread);
    refusal.reason = reason;
    m_refusals.push_back(refusal);
}

// ---- Removal ------------------------------------------------------------------------------------

void Admission::removeAt(ClassQueue &queue, const std::string &customer, std::size_t index)
{
    const auto entry = queue.customers.find(customer);
    assert(entry != queue.customers.end() && "the customer must have requests queued");
    std::deque<QueuedRequest> &requests = entry->second.requests;
    m_where.erase(requests[index].routing.id);
    requests.erase(requests.begin() + static_cast<std::ptrdiff_t>(index));
    queue.size--;
    if (!requests.empty())
        return;
    std::erase(queue.turns, customer);
    queue.customers.erase(entry);
}

bool Admission::cancel(std::uint64_t id)
{
    const auto where = m_where.find(id);
    if (where == m_where.end())
        return false;
    const Place place = where->second;
    ClassQueue &queue = m_keys[place.key].classes[place.priority];
    const std::deque<QueuedRequest> &requests = queue.customers[place.customer].requests;
    const auto found = std::find_if(requests.begin(), requests.end(),
                                    [&](const auto &each) { return each.routing.id == id; });
    assert(found != requests.end() && "the place of a queued request must be right");
    removeAt(queue, place.customer, static_cast<std::size_t>(found - requests.begin()));
    return true;
}

std::vector<Refusal> Admission::takeRefusals()
{
    return std::exchange(m_refusals, {});
}

// ---- Starting -----------------------------------------------------------------------------------

void Admission::nextTurn(ClassQueue &queue)
{
    queue.turns.push_back(queue.turns.front());
    queue.turns.pop_front();
}

bool Admission::startOne(KeyQueues &queues, std::size_t priority, bool useReserve,
                         StartTarget &target, Instant now)
{
    ClassQueue &queue = queues.classes[priority];
    std::size_t passed = 0; // customers whose first request cannot start now
    while (passed < queue.turns.size()) {
        const std::string customer = queue.turns.front();
        CustomerQueue &mine = queue.customers[customer];
        QueuedRequest &first = mine.requests.front();
        if (mine.deficit < startCost(first)) {
            mine.deficit += m_settings.quantum;
            nextTurn(queue);
            continue;
        }
        first.routing.useReserve = useReserve;
        const StartResult result = target.tryStart(first, now);
        const bool onlyItself = !first.routing.excluded.empty(); // others may use more upstreams
        if (result == StartResult::NoRoom && !onlyItself)
            return false;
        if (result != StartResult::Started) {
            nextTurn(queue);
            passed++;
            continue;
        }
        mine.deficit -= startCost(first);
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

bool Admission::startLowerClass(KeyQueues &queues, StartTarget &target, Instant now)
{
    for (std::size_t priority = ClassCount - 1; priority > 0; --priority) {
        if (startOne(queues, priority, true, target, now))
            return true;
    }
    return false;
}

void Admission::pumpKey(const std::string &key, StartTarget &target, Instant now)
{
    const auto entry = m_keys.find(key);
    if (entry == m_keys.end())
        return;
    KeyQueues &queues = entry->second;
    bool started = true;
    while (started) {
        started = false;
        if (queues.startsUntilLowerClass <= 0 && startLowerClass(queues, target, now)) {
            queues.startsUntilLowerClass = m_settings.lowerClassTurn;
            started = true;
            continue;
        }
        for (std::size_t priority = 0; priority < ClassCount && !started; ++priority) {
            started = startOne(queues, priority, false, target, now);
            if (started && hasLowerClass(queues, priority) && queues.startsUntilLowerClass > 0)
                queues.startsUntilLowerClass--;
        }
    }
}

void Admission::pump(StartTarget &target, Instant now)
{
    std::vector<std::string> keys;
    for (const auto &[key, queues] : m_keys) {
        const auto isBusy = [](const ClassQueue &queue) {
            return queue.size > 0;
        };
        if (std::any_of(queues.classes.begin(), queues.classes.end(), isBusy))
            keys.push_back(key);
    }
    if (keys.empty())
        return;
    const auto begin = std::upper_bound(keys.begin(), keys.end(), m_lastKey);
    std::rotate(keys.begin(), begin, keys.end());
    m_lastKey = keys.front();
    for (const std::string &key : keys)
        pumpKey(key, target, now);
}

// ---- Time ---------------------------------------------------------------------------------------

void Admission::expire(ClassQueue &queue, Instant now)
{
    std::vector<std::string> customers(queue.turns.begin(), queue.turns.end());
    for (const std::string &customer : customers) {
        // By index from the back, since removal of the last request removes the customer.
        for (std::size_t left = queue.customers[customer].requests.size(); left > 0; --left) {
            const QueuedRequest &each = queue.customers[customer].requests[left - 1];
            if (each.deadline > now)
                continue;
            refuse(each, "deadline_passed", expectedWait(each.routing), now);
            removeAt(queue, customer, left - 1);
        }
    }
}

void Admission::measure(ClassQueue &queue, double seconds)
{
    constexpr double Smoothing = 0.5;
    const double rate = queue.startsInWindow / seconds;
    if (queue.wasFull) { // a queue that ran empty drains as fast as requests arrive
        queue.startsPerSecond = queue.startsPerSecond <= 0.0
                ? rate
                : queue.startsPerSecond * (1.0 - Smoothing) + rate * Smoothing;
    }
    queue.startsInWindow = 0;
    queue.wasFull = queue.size > 0;
    if (!queue.wasFull)
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
                measure(queue, seconds);
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
