#include "decide/placementinput.h"

#include <algorithm>

namespace burdock {

// ---- Groups -------------------------------------------------------------------------------------

std::vector<GroupModels> groupModels(const ServiceCatalog &catalog)
{
    std::map<std::string, GroupModels> groups;
    for (const auto &[name, service] : catalog.services) {
        if (service.kind != ServiceKind::Models)
            continue;
        const auto [row, fresh] = groups.try_emplace(service.upstreamGroup);
        if (fresh) {
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

// The open orders of one copy on one engine.
struct CopyOrders
{
    bool load = false;           // any load
    bool timelyLoad = false;     // a load that is not overdue
    bool unload = false;         // any unload
    bool newestIsUnload = false; // the order with the highest number is an unload
    std::int64_t memoryMb = 0;   // what a load of it takes
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
        orders.unload = orders.unload || isUnload;
        orders.load = orders.load || !isUnload;
        orders.timelyLoad = orders.timelyLoad || (!isUnload && now < row->overdueAt);
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
    void addOrdered(const EngineRow &row, const CopyKey &key, const CopyOrders &orders);
    void addAvoided(const EngineRow &row);
    PlannerCopy copyRow(const CopyKey &key, std::int64_t memoryMb) const;

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
    engine.freeMb = state.memoryMb - accountOf(state, orders).reservedMb;
    engine.capacity = state.capacity;
    engine.serving = isServing(row, m_tables, m_now);
    engine.takesLoads = engine.serving;
    engine.takesUnloads = engine.serving
            && (state.checksFencing || m_tables.rule == UncheckedEngines::UnloadAfterSeen);
    m_input.engines.push_back(engine);

    std::map<CopyKey, CopyOrders> byCopy = ordersByCopy(m_open[state.name], m_now);
    for (const ResidentCopy &copy : state.copies) {
        const CopyKey key(copy.model, copy.version);
        addResident(row, copy, byCopy[key]);
        byCopy.erase(key);
    }
    for (const auto &[key, copyOrders] : byCopy)
        addOrdered(row, key, copyOrders);
    addAvoided(row);
}

PlannerCopy InputBuilder::copyRow(const CopyKey &key, std::int64_t memoryMb) const
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
    PlannerCopy planned = copyRow({ copy.model, copy.version }, copy.memoryMb);
    const bool checks = row.state.checksFencing;
    planned.state =
            copy.state == CopyState::Ready ? PlannerCopyState::Ready : PlannerCopyState::Coming;
    if (orders.unload) {
        const bool revoked = checks && !orders.newestIsUnload;
        planned.state = revoked ? PlannerCopyState::Coming : PlannerCopyState::Vanishing;
        planned.cancellable = checks;
    }
    const auto keep = m_tables.keepUntil.find({ row.state.name, copy.model, copy.version });
    planned.recent = keep != m_tables.keepUntil.end() && m_now < keep->second;
    // A load that may still arrive keeps the memory reserved, so an unload would free nothing.
    planned.pinned = !checks && orders.load;
    if (planned.state == PlannerCopyState::Vanishing && !planned.pinned)
        m_input.engines.back().comingMb += copy.memoryMb;
    m_input.copies.push_back(planned);
}

// A load that failed here a moment ago is not tried again yet.
void InputBuilder::addAvoided(const EngineRow &row)
{
    const auto begin = m_tables.avoidUntil.lower_bound({ row.state.name, "", "" });
    for (auto each = begin; each != m_tables.avoidUntil.end(); ++each) {
        const auto &[engine, model, version] = each->first;
        if (engine != row.state.name)
            break;
        PlannerCopy planned = copyRow({ model, version }, 0);
        planned.state = PlannerCopyState::Vanishing;
        if (m_now < each->second)
            m_input.copies.push_back(planned);
    }
}

// A copy that is not resident: on its way, or barred because an open unload could hit it.
void InputBuilder::addOrdered(const EngineRow &row, const CopyKey &key, const CopyOrders &orders)
{
    PlannerCopy planned = copyRow(key, orders.memoryMb);
    if (orders.unload && !row.state.checksFencing) {
        planned.state = PlannerCopyState::Vanishing;
        m_input.copies.push_back(planned);
        return;
    }
    if (orders.timelyLoad && !orders.newestIsUnload) {
        planned.state = PlannerCopyState::Coming;
        m_input.copies.push_back(planned);
        return;
    }
    // An overdue load keeps its memory reserved; ordering it anew there needs no more.
    if (orders.load)
        m_input.engines.back().reservedFor.insert(key);
}

} // namespace

bool isServing(const EngineRow &row, const PlacementTables &tables, Instant now)
{
    const bool stays = row.membership == EngineMembership::Live
            || row.membership == EngineMembership::Unlisted;
    return stays && now < row.staleAt && row.state.epoch == tables.epoch && !isRetired(row, tables);
}

PlacementInput placementInput(const GroupModels &group, const PlacementTables &tables, Instant now)
{
    return InputBuilder(group, tables, now).build();
}

} // namespace burdock
