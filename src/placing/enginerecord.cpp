#include "placing/enginerecord.h"

#include "base/text.h"

#include <algorithm>

namespace burdock {

ModelCatalog::ModelCatalog(const EngineLimits &limits)
    : m_limits(limits)
{
    double adapterMb = 0.0;
    for (std::size_t index = 0; index < limits.models.size(); ++index) {
        m_indexes.emplace(limits.models[index].name, index);
        adapterMb = std::max(adapterMb, limits.models[index].adapterMb);
    }
    m_adapterSlotsMb = adapterMb * limits.adapterSlots;
}

std::optional<std::size_t> ModelCatalog::indexOf(std::string_view model) const
{
    const auto found = m_indexes.find(model);
    return found == m_indexes.end() ? std::nullopt : std::optional(found->second);
}

void resetRecord(EngineRecord &engine, const ReplicaInfo &info)
{
    const bool isSameProcess = engine.info.startedMs == info.startedMs;
    EngineRecord fresh;
    fresh.info = info;
    fresh.listedModels = isSameProcess ? engine.listedModels : info.models;
    fresh.orders = std::move(engine.orders);
    fresh.orders.onNewProcess();
    engine = std::move(fresh);
}

void keepKnownCopies(EngineRecord &engine)
{
    const auto keep = [&](const std::string &model, const std::string &adapter) {
        auto copy = std::find_if(engine.reported.begin(), engine.reported.end(),
                                 [&](const ModelCopy &each) { return each.model == model; });
        if (copy == engine.reported.end())
            copy = engine.reported.insert(copy, ModelCopy { model, {} });
        if (!adapter.empty() && !contains(copy->adapters, adapter))
            copy->adapters.push_back(adapter);
    };
    for (const ModelCopy &copy : engine.info.models) {
        keep(copy.model, "");
        for (const std::string &adapter : copy.adapters)
            keep(copy.model, adapter);
    }
    for (const auto &[model, expiresAt] : engine.loading)
        keep(model, "");
    for (const auto &[name, orderedAt] : engine.pendingAdapters) {
        const auto slash = name.find('/');
        keep(name.substr(0, slash), slash == std::string::npos ? "" : name.substr(slash + 1));
    }
}

const ModelCopy *listedCopy(const EngineRecord &engine, const std::string &model)
{
    const auto found = std::find_if(engine.info.models.begin(), engine.info.models.end(),
                                    [&](const ModelCopy &copy) { return copy.model == model; });
    return found == engine.info.models.end() ? nullptr : &*found;
}

int maxHeldAdapters(const EngineRecord &engine)
{
    std::set<std::string> names;
    for (const ModelCopy &copy : engine.info.models) {
        for (const std::string &adapter : copy.adapters)
            names.insert(copyName(copy.model, adapter));
    }
    for (const ModelCopy &copy : engine.reported) {
        for (const std::string &adapter : copy.adapters)
            names.insert(copyName(copy.model, adapter));
    }
    for (const auto &[copy, orderedAt] : engine.pendingAdapters)
        names.insert(copy);
    for (const auto &[copy, orderedAt] : engine.unloadingAdapters)
        names.insert(copy);
    for (const std::string &copy : engine.orders.copies()) {
        if (copy.find('/') != std::string::npos)
            names.insert(copy);
    }
    if (engine.openOrder && engine.openOrder->load && !engine.openOrder->adapter.empty())
        names.insert(copyName(engine.openOrder->model, engine.openOrder->adapter));
    for (const EngineCommand *late : engine.orders.lateLoads()) {
        if (!late->adapter.empty())
            names.insert(copyName(late->model, late->adapter));
    }
    return static_cast<int>(names.size());
}

int slotsClaimedByOthers(const EngineRecord &engine, const std::string &copy, Instant now)
{
    return static_cast<int>(std::count_if(
            engine.slotClaims.begin(), engine.slotClaims.end(), [&](const auto &entry) {
                const auto &[claimant, claim] = entry;
                return claimant != copy && claim.victim.empty() && now < claim.expiresAt
                        && listedCopy(engine, claimant.substr(0, claimant.find('/'))) != nullptr;
            }));
}

Duration loadTime(const EngineRecord &engine, const EngineModel *model)
{
    if (model == nullptr)
        return {};
    if (contains(engine.info.inHostMemory, model->name))
        return model->hostMemoryLoadTime;
    return contains(engine.info.onDisk, model->name) ? model->localDiskLoadTime
                                                     : model->storeLoadTime;
}

double freeMemory(const EngineRecord &engine, const ModelCatalog &catalog, double usableShare)
{
    const std::vector<const EngineCommand *> lateLoads = engine.orders.lateLoads();
    std::vector<std::string_view> models;
    const auto add = [&](std::string_view model) {
        if (std::find(models.begin(), models.end(), model) == models.end())
            models.push_back(model);
    };
    for (const ModelCopy &copy : engine.info.models)
        add(copy.model);
    for (const ModelCopy &copy : engine.reported)
        add(copy.model);
    for (const auto &[model, expiresAt] : engine.loading)
        add(model);
    for (const std::string &copy : engine.orders.copies()) {
        if (copy.find('/') == std::string::npos)
            add(copy);
    }
    if (engine.openOrder && engine.openOrder->load && engine.openOrder->adapter.empty())
        add(engine.openOrder->model);
    for (const EngineCommand *late : lateLoads) {
        if (late->adapter.empty())
            add(late->model);
    }
    // All adapter slots count: adapters may be loaded at any time.
    double used = catalog.adapterSlotsMb();
    for (const std::string_view name : models) {
        const auto index = catalog.indexOf(name);
        if (!index)
            return 0.0; // its size is unknown: nothing more may be loaded
        used += catalog.limits().models[*index].memoryMb;
    }
    return catalog.limits().weightsMb * usableShare - used;
}

bool isProtected(const EngineRecord &engine, const std::string &copy, Instant now)
{
    const auto evictable = engine.evictableAt.find(copy);
    return evictable != engine.evictableAt.end() && now < evictable->second;
}

bool canTakeOrder(const EngineRecord &engine)
{
    return !engine.info.draining && engine.orders.isKnown() && !engine.openOrder
            && engine.unloading.empty() && engine.loading.empty();
}

} // namespace burdock
