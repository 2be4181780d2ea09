// The part of Placement that plans, stores and sends orders. The part that handles events, the
// lease and the journal is in placement.cpp.
#include "decide/placement.h"

#include <algorithm>
#include <utility>

namespace burdock {

// ---- Planning -----------------------------------------------------------------------------------

bool Placement::isReadyToPlan(Instant now) const
{
    if (now < m_nextPlanAt || !m_journal.idle() || m_committing || m_catalog.revision == 0)
        return false;
    // An earlier holder acted on a newer catalog. A plan based on the older one would undo its
    // moves.
    if (m_catalog.revision < m_journal.value().catalogRevision)
        return false;
    const bool noneWaiting =
            std::all_of(m_open.begin(), m_open.end(), [now](const OpenOrder &open) {
                return open.sent || open.overdueAt <= now;
            });
    if (!noneWaiting)
        return false;
    if (now >= m_warmUpUntil)
        return true;
    return m_vmListKnown && std::all_of(m_vmList.begin(), m_vmList.end(), [this](const auto &vm) {
               const auto row = m_engines.find(vm.first);
               return vm.second || (row != m_engines.end() && row->second.state.epoch == m_epoch);
           });
}

// Starts unpublishGrace for resident models that are no longer in the catalog. Their copies stay
// until it ends, because the model may be published again soon, and other nodes learn of the change
// at different times.
void Placement::updateUnpublishGrace(Instant now)
{
    std::map<std::string, Instant> grace;
    for (const auto &[name, row] : m_engines) {
        const auto group = m_groups.find(row.state.group);
        if (group == m_groups.end())
            continue;
        for (const ResidentCopy &copy : row.state.copies) {
            const auto &models = group->second.models.models;
            const auto model =
                    std::find_if(models.begin(), models.end(), [&copy](const ModelEntry &each) {
                        return each.name == copy.model;
                    });
            if (model != models.end())
                continue;
            const auto previous = m_graceUntil.find(copy.model);
            grace[copy.model] = previous == m_graceUntil.end() ? now + m_settings.unpublishGrace
                                                               : previous->second;
        }
    }
    m_graceUntil = std::move(grace);
}

void Placement::planAll(Instant now)
{
    updateUnpublishGrace(now);
    std::vector<EngineOrder> orders;
    for (auto &[name, group] : m_groups)
        planGroup(group, orders, now);
    if (!orders.empty() || m_hasSettledOrders)
        commitOrders(std::move(orders), now);
}

void Placement::planGroup(Group &group, std::vector<EngineOrder> &orders, Instant now)
{
    const PlacementTables tables = makeTables();
    PlacementInput input = buildPlacementInput(group.models, tables, now);
    const int inFlight = loadsInFlight(group.models.group, now);
    input.settings.maxLoads = static_cast<std::size_t>(group.budget.available(inFlight, now));
    PlacementPlan plan = burdock::plan(input);
    for (const PlannedMove &move : plan.moves) {
        const PlannerEngine &engine = input.engines[move.engine];
        EngineOrder order;
        order.number = fencingNumber(m_lease.term(), ++m_orderCounter);
        order.kind = move.load ? EngineOrderKind::Load : EngineOrderKind::Unload;
        order.engine = engine.name;
        order.incarnation = m_engines[engine.name].state.incarnation;
        order.model = move.model;
        order.version = move.version;
        order.memoryMb = move.memoryMb;
        orders.push_back(order);

        PlacementDecision decision;
        decision.id = order.number;
        decision.kind = order.kind;
        decision.engine = order.engine;
        decision.model = order.model;
        decision.version = order.version;
        decision.reason = moveReasonName(move.reason);
        decision.term = m_lease.term();
        decision.gain = move.gain;
        decision.demand = m_demand.demandOf(move.model);
        decision.freeMb = engine.freeMb;
        decision.revision = m_catalog.revision;
        m_actions.emplace_back(decision);
    }
    m_plans[group.models.group] = std::move(plan);
}

void Placement::commitOrders(std::vector<EngineOrder> orders, Instant now)
{
    for (EngineOrder &order : orders) {
        OpenOrder row;
        row.order = std::move(order);
        row.overdueAt = now + m_settings.orderTimeout;
        row.loadSlotUntil = now + m_settings.loadTimeout;
        m_open.push_back(std::move(row));
    }
    JournalValue next;
    next.catalogRevision = std::max(m_catalog.revision, m_journal.value().catalogRevision);
    next.retired = m_retired;
    for (const OpenOrder &open : m_open)
        next.orders.push_back(open.order);
    m_committing = true;
    m_hasSettledOrders = false;
    m_journal.commit(std::move(next), now);
}

// ---- Orders -------------------------------------------------------------------------------------

void Placement::sendOrders(Instant now)
{
    if (m_committing)
        return;
    for (OpenOrder &row : m_open) {
        if (row.sent || now >= row.overdueAt || !maySend(row, now))
            continue;
        row.sent = true;
        row.overdueAt = now + m_settings.orderTimeout;
        row.loadSlotUntil = now + m_settings.loadTimeout;
        if (row.order.kind == EngineOrderKind::Load)
            m_keepUntil[{ row.order.engine, row.order.model, row.order.version }] =
                    now + m_settings.minResidency;
        m_actions.emplace_back(SendEngineOrder { row.order });
    }
}

bool Placement::maySend(OpenOrder &row, Instant now)
{
    const auto engine = m_engines.find(row.order.engine);
    if (engine == m_engines.end() || engine->second.state.incarnation != row.order.incarnation)
        return false;
    if (engine->second.state.checksFencing && hasEarlierOrderInFlight(row.order, now))
        return false;
    if (row.order.kind == EngineOrderKind::Unload)
        return isUnloadSafe(row.order, now);
    Group *group = findGroup(row.order.engine);
    return group != nullptr && group->budget.take(loadsInFlight(group->models.group, now), now);
}

// Two orders in flight to one engine may be reordered, and an engine that checks fencing numbers
// would then refuse the one with the lower number. So an order is sent only after every earlier
// order to that engine is settled or overdue.
bool Placement::hasEarlierOrderInFlight(const EngineOrder &order, Instant now) const
{
    return std::any_of(m_open.begin(), m_open.end(), [&](const OpenOrder &open) {
        return open.order.engine == order.engine && open.order.number < order.number && open.sent
                && !open.inherited && now < open.overdueAt;
    });
}

// The state may have changed since the plan, so this checks again that another copy of the model
// keeps serving.
bool Placement::isUnloadSafe(const EngineOrder &order, Instant now) const
{
    const auto group = m_groups.find(m_engines.at(order.engine).state.group);
    if (group == m_groups.end())
        return true;
    const auto &models = group->second.models.models;
    const auto model = std::find_if(models.begin(), models.end(), [&order](const ModelEntry &each) {
        return each.name == order.model;
    });
    if (model == models.end())
        return true;
    const PlacementTables tables = makeTables();
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &each) {
        return isServing(each.second, tables, now) && hasOtherServingCopy(each.second.state, order);
    });
}

// Whether the engine has a ready copy of the model that no open unload may remove.
bool Placement::hasOtherServingCopy(const EngineState &state, const EngineOrder &unload) const
{
    const auto isServingCopy = [&](const ResidentCopy &copy) {
        return copy.model == unload.model && copy.state == CopyState::Ready
                && std::none_of(m_open.begin(), m_open.end(), [&](const OpenOrder &open) {
                       const EngineOrder &order = open.order;
                       return order.kind == EngineOrderKind::Unload && order.engine == state.name
                               && order.model == copy.model && order.version == copy.version;
                   });
    };
    return std::any_of(state.copies.begin(), state.copies.end(), isServingCopy);
}

int Placement::loadsInFlight(const std::string &group, Instant now) const
{
    int count = 0;
    std::set<CopyOnEngine> counted;
    for (const auto &[name, row] : m_engines) {
        if (row.state.group != group || now >= row.staleAt + m_settings.loadTimeout)
            continue;
        for (const ResidentCopy &copy : row.state.copies) {
            if (copy.state == CopyState::Loading)
                ++count;
            counted.emplace(name, copy.model, copy.version);
        }
    }
    for (const OpenOrder &open : m_open) {
        const EngineOrder &order = open.order;
        if (order.kind != EngineOrderKind::Load || !open.sent || now >= open.loadSlotUntil)
            continue;
        if (counted.emplace(order.engine, order.model, order.version).second)
            ++count;
    }
    return count;
}

// At an engine that checks fencing, a raised number settles open orders whose outcome is unknown.
// The Raise order is not stored in the journal: it has no other effect, and its number is below the
// numbers of any later holder.
void Placement::raiseFencingNumbers(Instant now)
{
    if (m_committing)
        return;
    // For each engine with open orders: whether this holder issued one that is not overdue.
    std::map<std::string, bool> hasTimelyOrder;
    for (const OpenOrder &open : m_open) {
        const bool timely = !open.inherited && now < open.overdueAt;
        bool &anyTimely = hasTimelyOrder[open.order.engine];
        anyTimely = anyTimely || timely;
    }
    std::erase_if(m_nextRaiseAt, [&hasTimelyOrder](const auto &row) {
        return hasTimelyOrder.count(row.first) == 0;
    });
    for (const auto &[name, timely] : hasTimelyOrder) {
        const auto row = m_engines.find(name);
        if (timely || row == m_engines.end() || !row->second.state.checksFencing
            || row->second.state.epoch != m_epoch || now < m_nextRaiseAt[name])
            continue;
        m_nextRaiseAt[name] = now + m_settings.orderTimeout / 4;
        EngineOrder order;
        order.number = fencingNumber(m_lease.term(), ++m_orderCounter);
        order.kind = EngineOrderKind::Raise;
        order.engine = name;
        order.incarnation = row->second.state.incarnation;
        m_actions.emplace_back(SendEngineOrder { order });
    }
}

// ---- Adapters -----------------------------------------------------------------------------------

// Adapters occupy no memory of their own and a repeated adapter load has no effect. So these orders
// are not stored in the journal, and they carry the highest number that the engine has seen instead
// of a new one.
void Placement::loadAdapters(Instant now)
{
    if (!m_settings.preloadAdapters)
        return;
    const PlacementTables tables = makeTables();
    for (const auto &[name, row] : m_engines) {
        const auto group = m_groups.find(row.state.group);
        if (group == m_groups.end() || !isServing(row, tables, now))
            continue;
        const GroupModels &models = group->second.models;
        const auto limit = static_cast<std::size_t>(models.policy.adapterLoadsInFlight);
        for (const ResidentCopy &copy : row.state.copies) {
            const auto model = std::find_if(
                    models.models.begin(), models.models.end(), [&copy](const ModelEntry &each) {
                        return each.name == copy.model && each.version == copy.version;
                    });
            if (model != models.models.end() && copy.state == CopyState::Ready)
                loadMissingAdapters(row, *model, copy, limit, now);
        }
    }
}

void Placement::loadMissingAdapters(const EngineRow &row, const ModelEntry &model,
                                    const ResidentCopy &copy, std::size_t limit, Instant now)
{
    for (const AdapterEntry &adapter : model.adapters) {
        const std::string name = adapter.name + "@" + adapter.version;
        const std::string key = row.state.name + "/" + model.name + "/" + name;
        if (std::find(copy.adapters.begin(), copy.adapters.end(), name) != copy.adapters.end()) {
            m_adapterLoadDeadlines.erase(key);
            continue;
        }
        if (m_adapterLoadDeadlines.size() >= limit || m_adapterLoadDeadlines.count(key) > 0)
            continue;
        m_adapterLoadDeadlines[key] = now + m_settings.adapterTimeout;
        EngineOrder order;
        order.number = row.state.highestNumber;
        order.kind = EngineOrderKind::LoadAdapter;
        order.engine = row.state.name;
        order.incarnation = row.state.incarnation;
        order.model = model.name;
        order.version = model.version;
        order.adapter = name;
        m_actions.emplace_back(SendEngineOrder { order });
    }
}

Placement::Group *Placement::findGroup(const std::string &engine)
{
    const auto row = m_engines.find(engine);
    if (row == m_engines.end())
        return nullptr;
    const auto group = m_groups.find(row->second.state.group);
    return group == m_groups.end() ? nullptr : &group->second;
}

} // namespace burdock
