#include "decide/placementinput.h"

#include <algorithm>

namespace burdock {

// ---- Groups -------------------------------------------------------------------------------------

std::vector<GroupModels> collectGroupModels(const ServiceCatalog &catalog)
{
    std::map<std::string, GroupModels> groups;
    for (const auto &[name, service] : catalog.services) {
        if (service.kind != ServiceKind::Models)
            continue;
        const auto [row, inserted] = groups.try_emplace(service.upstreamGroup);
        if (inserted) {
            row->second.group = service.upstreamGroup;
            row->second.policy = service.placement;
        }
        std::vector<ModelEntry> &models = row->second.models;
        models.insert(models.end(), service.models.begin(), service.models.end());
    }
    std::vector<GroupModels> result;
    for (auto &[name, group] : groups) {
        std::sort(group.models.begin(), group.models.end(),
                  [](const ModelEntry &left, const ModelEntry &right) {
                      return left.name < right.name;
                  });
        result.push_back(std::move(group));
    }
    return result;
}

// ---- Engines ------------------------------------------------------------------------------------

namespace {

bool isRetired(const EngineRow &row, const PlacementTables &tables)
{
    const RetiredEngine self { row.state.name, row.state.incarnation };
    return std::find(tables.retired.begin(), tables.retired.end(), self) != tables.retired.end();
}

// Summary of the open orders for one copy on one engine.
struct CopyOrders
{
    bool hasLoad = false;         // at least one load is open
    bool hasTimelyLoad = false;   // at least one open load is not overdue
    bool hasUnload = false;       // at least one unload is open
    bool hasTimelyUnload = false; // at least one open unload is not overdue
    bool newestIsUnload = false;  // the order with the highest number is an unload
    std::int64_t memoryMb = 0;    // memory that a load of the copy occupies, MB
};

std::map<CopyKey, CopyOrders> ordersByCopy(const std::vector<const OpenOrder *> &open, Instant now)
{
    std::map<CopyKey, CopyOrders> result;
    std::map<CopyKey, std::uint64_t> newest;
    for (const OpenOrder *row : open) {
        const EngineOrder &order = row->order;
        if (order.kind != EngineOrderKind::Load && order.kind != EngineOrderKind::Unload)
            continue;
        const CopyKey key(order.model, order.version);
        CopyOrders &orders = result[key];
        const bool isUnload = order.kind == EngineOrderKind::Unload;
        orders.hasUnload = orders.hasUnload || isUnload;
        orders.hasLoad = orders.hasLoad || !isUnload;
        orders.hasTimelyUnload = orders.hasTimelyUnload || (isUnload && now < row->overdueAt);
        orders.hasTimelyLoad = orders.hasTimelyLoad || (!isUnload && now < row->overdueAt);
        orders.memoryMb = std::max(orders.memoryMb, order.memoryMb);
        if (order.number >= newest[key]) {
            newest[key] = order.number;
            orders.newestIsUnload = isUnload;
        }
    }
    return result;
}

class InputBuilder
{
public:
    InputBuilder(const GroupModels &group, const PlacementTables &tables, Instant now)
        : m_group(group)
        , m_tables(tables)
        , m_now(now)
    {
    }

    PlacementInput build()
    {
        addModels();
        for (const OpenOrder &row : m_tables.open)
            m_open[row.order.engine].push_back(&row);
        for (const auto &[name, row] : m_tables.engines) {
            if (row.state.group == m_group.group && row.state.epoch == m_tables.epoch)
                addEngine(row);
        }
        return std::move(m_input);
    }

private:
    void addModels();
    void addEngine(const EngineRow &row);
    void addResident(const EngineRow &row, const ResidentCopy &copy, const CopyOrders &orders);
    void addNonResident(const EngineRow &row, const CopyKey &key, const CopyOrders &orders);
    void addFailedLoads(const EngineRow &row);
    PlannerCopy makeCopy(const CopyKey &key, std::int64_t memoryMb) const;

    const GroupModels &m_group;
    const PlacementTables &m_tables;
    Instant m_now;
    PlacementInput m_input;
    std::map<std::string, std::size_t> m_modelIndex;
    std::map<std::string, std::vector<const OpenOrder *>> m_open;
};

void InputBuilder::addModels()
{
    for (const ModelEntry &entry : m_group.models) {
        PlannerModel model;
        model.name = entry.name;
        model.version = entry.version;
        model.memoryMb = entry.memoryMb;
        model.minReplicas = std::max(1, entry.minReplicas);
        model.demand = m_tables.demand.demandOf(entry.name);
        m_modelIndex[entry.name] = m_input.models.size();
        m_input.models.push_back(model);
    }
    m_input.settings.moveWeight = m_group.policy.moveWeight;
}

void InputBuilder::addEngine(const EngineRow &row)
{
    const EngineState &state = row.state;
    std::vector<EngineOrder> orders;
    for (const OpenOrder *open : m_open[state.name])
        orders.push_back(open->order);
    PlannerEngine engine;
    engine.name = state.name;
    engine.zone = state.zone;
    engine.freeMb = state.memoryMb - computeAccount(state, orders).reservedMb;
    engine.capacity = state.capacity;
    engine.serving = isServing(row, m_tables, m_now);
    engine.takesLoads = engine.serving;
    engine.takesUnloads = engine.serving
            && (state.checksFencing
                || m_tables.unfencedPolicy == UnfencedEnginePolicy::UnloadAfterSeen);
    m_input.engines.push_back(engine);

    std::map<CopyKey, CopyOrders> byCopy = ordersByCopy(m_open[state.name], m_now);
    for (const ResidentCopy &copy : state.copies) {
        const CopyKey key(copy.model, copy.version);
        addResident(row, copy, byCopy[key]);
        byCopy.erase(key);
    }
    for (const auto &[key, copyOrders] : byCopy)
        addNonResident(row, key, copyOrders);
    addFailedLoads(row);
}

PlannerCopy InputBuilder::makeCopy(const CopyKey &key, std::int64_t memoryMb) const
{
    PlannerCopy row;
    row.engine = m_input.engines.size() - 1;
    const auto model = m_modelIndex.find(key.first);
    row.model = model == m_modelIndex.end() ? UnpublishedModel : model->second;
    row.modelName = key.first;
    row.version = key.second;
    row.memoryMb = memoryMb;
    return row;
}

void InputBuilder::addResident(const EngineRow &row, const ResidentCopy &copy,
                               const CopyOrders &orders)
{
    PlannerCopy planned = makeCopy({ copy.model, copy.version }, copy.memoryMb);
    const bool checks = row.state.checksFencing;
    planned.state =
            copy.state == CopyState::Ready ? PlannerCopyState::Ready : PlannerCopyState::Loading;
    if (orders.hasUnload) {
        const bool revoked = checks && !orders.newestIsUnload;
        planned.state = revoked ? PlannerCopyState::Loading : PlannerCopyState::Unreliable;
        planned.unloadRevocable = checks;
        planned.unloadOverdue = !checks && !orders.hasTimelyUnload;
    }
    const auto keep = m_tables.keepUntil.find({ row.state.name, copy.model, copy.version });
    const auto grace = m_tables.graceUntil.find(copy.model);
    planned.retained = (keep != m_tables.keepUntil.end() && m_now < keep->second)
            || (grace != m_tables.graceUntil.end() && m_now < grace->second);
    // An open load may still reach an engine that ignores fencing numbers, so the memory stays
    // reserved and an unload would free nothing.
    planned.pinned = !checks && orders.hasLoad;
    if (planned.state == PlannerCopyState::Unreliable && !planned.pinned && orders.hasTimelyUnload)
        m_input.engines.back().pendingFreeMb += copy.memoryMb;
    m_input.copies.push_back(planned);
}

// Bars loads that failed on this engine recently, until avoidUntil.
void InputBuilder::addFailedLoads(const EngineRow &row)
{
    const auto begin = m_tables.avoidUntil.lower_bound({ row.state.name, "", "" });
    for (auto each = begin; each != m_tables.avoidUntil.end(); ++each) {
        const auto &[engine, model, version] = each->first;
        if (engine != row.state.name)
            break;
        PlannerCopy planned = makeCopy({ model, version }, 0);
        planned.state = PlannerCopyState::Unreliable;
        if (m_now < each->second)
            m_input.copies.push_back(planned);
    }
}

// Adds a copy that is not resident but has open orders: it is about to be loaded, or it must not be
// loaded because an open unload could remove it again.
void InputBuilder::addNonResident(const EngineRow &row, const CopyKey &key,
                                  const CopyOrders &orders)
{
    PlannerCopy planned = makeCopy(key, orders.memoryMb);
    if (orders.hasUnload && !row.state.checksFencing) {
        planned.state = PlannerCopyState::Unreliable;
        m_input.copies.push_back(planned);
        return;
    }
    if (orders.hasTimelyLoad && !orders.newestIsUnload) {
        planned.state = PlannerCopyState::Loading;
        m_input.copies.push_back(planned);
        return;
    }
    // An overdue load keeps its memory reserved. Another load of the same copy on this engine needs
    // no additional memory.
    if (orders.hasLoad)
        m_input.engines.back().reservedFor.insert(key);
}

} // namespace

bool isServing(const EngineRow &row, const PlacementTables &tables, Instant now)
{
    const bool stays = row.membership == EngineMembership::Live
            || row.membership == EngineMembership::Unlisted;
    return stays && now < row.staleAt && row.state.epoch == tables.epoch && !isRetired(row, tables);
}

PlacementInput buildPlacementInput(const GroupModels &group, const PlacementTables &tables,
                                   Instant now)
{
    return InputBuilder(group, tables, now).build();
}

} // namespace burdock
