#include "decide/placement.h"

#include "base/hashing.h"

#include <algorithm>
#include <utility>

namespace burdock {

namespace {

// Maximum number of retired engine processes in the journal; the oldest are removed first.
constexpr std::size_t MaxRetiredEngines = 2'000;

template <typename Action>
void append(std::vector<PlacementAction> &actions, std::vector<Action> more)
{
    for (Action &action : more)
        std::visit([&actions](auto &each) { actions.emplace_back(std::move(each)); }, action);
}

} // namespace

Placement::Placement(PlacementSettings settings)
    : m_settings(std::move(settings))
    , m_lease(m_settings.lease, m_settings.node, m_settings.incarnation)
    , m_journal(m_settings.journal)
    , m_demand(m_settings.demand)
{
}

// ---- Events -------------------------------------------------------------------------------------

void Placement::onControlNodes(const std::vector<std::string> &live, Instant now)
{
    const std::vector<std::string> order = rendezvousOrder(m_settings.region, live);
    const auto end = order.begin()
            + static_cast<std::ptrdiff_t>(std::min(order.size(), m_settings.candidates));
    m_lease.setCandidate(std::find(order.begin(), end, m_settings.node) != end, now);
}

void Placement::onVmList(const std::vector<PlacementVm> &engines, Instant now)
{
    std::map<std::string, bool> list;
    for (const PlacementVm &vm : engines)
        list[vm.name] = vm.leaving;
    for (auto &[name, row] : m_engines) {
        const auto vm = list.find(name);
        if (vm != list.end())
            row.membership = vm->second ? EngineMembership::Leaving : EngineMembership::Live;
        else
            row.membership = EngineMembership::Absent;
    }
    std::erase_if(m_engines, [now](const auto &each) {
        return each.second.membership == EngineMembership::Absent && each.second.staleAt <= now;
    });
    m_vmList = std::move(list);
    m_vmListKnown = true;
}

void Placement::onCatalog(const ServiceCatalog &catalog)
{
    if (catalog.revision <= m_catalog.revision)
        return;
    m_catalog = catalog;
    std::map<std::string, Group> groups;
    for (GroupModels &models : collectGroupModels(catalog)) {
        const auto old = m_groups.find(models.group);
        Group &group = groups[models.group];
        if (old != m_groups.end())
            group.budget = old->second.budget;
        group.budget.setLimits(models.policy.loadsPerSecond, models.policy.loadsAtOnce);
        group.models = std::move(models);
    }
    m_groups = std::move(groups);
}

void Placement::onDemand(const DemandReport &report, Instant now)
{
    m_demand.onReport(report, now);
}

void Placement::onEngineState(const EngineState &state, Instant now)
{
    EngineRow &row = m_engines[state.name];
    const auto age = [](const EngineState &each) {
        return std::pair(each.incarnation, each.sequence);
    };
    const bool newer = age(state) > age(row.state);
    // The same report, queried again in a later epoch, is as valid there as a new one.
    const bool polledAgain = age(state) == age(row.state) && state.epoch > row.state.epoch;
    if (!newer && !polledAgain)
        return;
    // A report that is newer than one queried in the current epoch belongs to this epoch as well,
    // even if it was queried in an earlier one.
    const std::uint64_t epoch = std::max(state.epoch, row.state.epoch);
    row.state = state;
    row.state.epoch = epoch;
    row.staleAt = now + m_settings.maxReportAge;
    const auto vm = m_vmList.find(state.name);
    if (vm != m_vmList.end())
        row.membership = vm->second ? EngineMembership::Leaving : EngineMembership::Live;
    else
        row.membership = m_vmListKnown ? EngineMembership::Absent : EngineMembership::Unlisted;
}

// ---- Results of the Object API ------------------------------------------------------------------

void Placement::onLeaseRead(const LeaseReadResult &result, Instant now)
{
    m_lease.onRead(result, now);
    applyStateChanges(now);
}

void Placement::onLeaseWritten(const LeaseWriteResult &result, Instant now)
{
    m_lease.onWritten(result, now);
    applyStateChanges(now);
}

void Placement::onJournalRead(const JournalReadResult &result, Instant now)
{
    m_journal.onRead(result, now);
    applyStateChanges(now);
}

void Placement::onJournalWritten(const JournalWriteResult &result, Instant now)
{
    m_journal.onWritten(result, now);
    applyStateChanges(now);
}

void Placement::applyStateChanges(Instant now)
{
    for (const LeaseEvent event : m_lease.takeEvents()) {
        if (event == LeaseEvent::Taken)
            startHolding(now);
        else
            stopHolding();
    }
    handleJournalState(now);
    if (isActive(now))
        sendOrders(now);
}

// ---- Time ---------------------------------------------------------------------------------------

void Placement::tick(Instant now)
{
    m_demand.tick(now);
    m_lease.tick(now);
    m_journal.tick(now);
    applyStateChanges(now);
    if (!isActive(now))
        return;
    settleOrders(now);
    retireEngines(now);
    sendOrders(now);
    raiseFencingNumbers(now);
    loadAdapters(now);
    if (!isReadyToPlan(now))
        return;
    m_nextPlanAt = now + m_settings.planInterval;
    planAll(now);
}

void Placement::release(Instant now)
{
    m_lease.release(now);
}

bool Placement::isActive(Instant now) const
{
    return m_lease.holds(now) && m_journalAdopted && m_journal.state() == JournalState::Open;
}

std::vector<PlacementAction> Placement::takeActions()
{
    std::vector<PlacementAction> actions = std::exchange(m_actions, {});
    append(actions, m_lease.takeActions());
    append(actions, m_journal.takeActions());
    return actions;
}

// ---- Lease and journal --------------------------------------------------------------------------

void Placement::startHolding(Instant now)
{
    stopHolding();
    m_journal.open(m_lease.term(), now);
    m_journal.tick(now);
    for (auto &[name, group] : m_groups)
        group.budget.assumeSpent(now);
}

void Placement::stopHolding()
{
    m_journal.close();
    m_open.clear();
    m_retired.clear();
    m_retireAt.clear();
    m_nextRaiseAt.clear();
    m_keepUntil.clear();
    m_avoidUntil.clear();
    m_graceUntil.clear();
    m_adapterLoadDeadlines.clear();
    m_orderCounter = 0;
    m_journalAdopted = false;
    m_committing = false;
    m_hasSettledOrders = false;
}

void Placement::handleJournalState(Instant now)
{
    switch (m_journal.state()) {
    case JournalState::Closed:
    case JournalState::Opening:
        return;
    case JournalState::Superseded:
    case JournalState::TermTooLow:
        // If this process still owns the lease, its next renewal has a higher term, and the journal
        // is opened again under that term.
        m_lease.raiseTerm(m_journal.storedTerm());
        return;
    case JournalState::Open:
        break;
    }
    if (!m_journalAdopted)
        adoptJournal(now);
    if (m_committing && m_journal.idle())
        m_committing = false;
}

// Takes over the open orders of earlier holders, which they may have sent.
void Placement::adoptJournal(Instant now)
{
    m_journalAdopted = true;
    ++m_epoch;
    m_warmUpUntil = now + m_settings.warmUp;
    m_nextPlanAt = now;
    m_retired = m_journal.value().retired;
    for (const EngineOrder &order : m_journal.value().orders) {
        OpenOrder row;
        row.order = order;
        row.sent = true;
        row.inherited = true;
        row.overdueAt = now + m_settings.orderTimeout;
        row.loadSlotUntil = now + m_settings.loadTimeout;
        m_open.push_back(row);
    }
}

void Placement::settleOrders(Instant now)
{
    const auto settled = [this, now](const OpenOrder &open) {
        if (!open.sent && now >= open.overdueAt)
            return true; // never sent, and later holders do not send the orders they inherit
        const auto row = m_engines.find(open.order.engine);
        if (row == m_engines.end() || row->second.state.epoch != m_epoch
            || !isSettled(open.order, row->second.state, m_settings.unfencedPolicy))
            return false;
        avoidAfterFailure(open, row->second.state, now);
        return true;
    };
    // While a commit is in flight no order is removed, because the commit stores them all.
    if (!m_committing && std::erase_if(m_open, settled) > 0)
        m_hasSettledOrders = true;
    std::erase_if(m_avoidUntil, [now](const auto &row) { return row.second <= now; });
    std::erase_if(m_keepUntil, [now](const auto &row) { return row.second <= now; });
    std::erase_if(m_adapterLoadDeadlines, [now](const auto &row) { return row.second <= now; });
}

// After a load that settled without a resident copy, does not order the same load on that engine
// again for orderTimeout.
void Placement::avoidAfterFailure(const OpenOrder &open, const EngineState &state, Instant now)
{
    const EngineOrder &order = open.order;
    const bool resident = std::any_of(
            state.copies.begin(), state.copies.end(), [&order](const ResidentCopy &copy) {
                return copy.model == order.model && copy.version == order.version;
            });
    if (order.kind != EngineOrderKind::Load || open.inherited || resident
        || order.incarnation != state.incarnation)
        return;
    m_avoidUntil[{ order.engine, order.model, order.version }] = now + m_settings.orderTimeout;
}

// Drops the open orders of engines that are absent from the VM list and send no reports, and
// records their processes as retired so that they get no further orders.
void Placement::retireEngines(Instant now)
{
    if (!m_vmListKnown || m_committing)
        return;
    std::map<std::string, Instant> missing;
    for (const OpenOrder &open : m_open) {
        const std::string &name = open.order.engine;
        const auto row = m_engines.find(name);
        const bool isReporting = row != m_engines.end() && now < row->second.staleAt;
        if (m_vmList.count(name) > 0 || isReporting)
            continue;
        const auto known = m_retireAt.find(name);
        missing[name] = known == m_retireAt.end() ? now + m_settings.retireDelay : known->second;
    }
    m_retireAt = std::move(missing);
    for (const auto &[name, at] : m_retireAt) {
        if (now < at)
            continue;
        const std::string &absentName = name;
        for (const OpenOrder &open : m_open) {
            const RetiredEngine retired { name, open.order.incarnation };
            const bool alreadyRetired =
                    std::find(m_retired.begin(), m_retired.end(), retired) != m_retired.end();
            if (open.order.engine == name && !alreadyRetired)
                m_retired.push_back(retired);
        }
        std::erase_if(m_open, [&absentName](const OpenOrder &open) {
            return open.order.engine == absentName;
        });
        m_hasSettledOrders = true;
    }
    if (m_retired.size() > MaxRetiredEngines)
        m_retired.erase(m_retired.begin(),
                        m_retired.end() - static_cast<std::ptrdiff_t>(MaxRetiredEngines));
}

PlacementTables Placement::makeTables() const
{
    return PlacementTables { m_engines,    m_open,       m_retired, m_keepUntil,
                             m_graceUntil, m_avoidUntil, m_demand,  m_settings.unfencedPolicy,
                             m_epoch };
}

} // namespace burdock
