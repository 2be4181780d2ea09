#include "placing/enginerecord.h"

#include "base/text.h"

#include <algorithm>

namespace burdock {

void resetRecord(EngineRecord &engine, const ReplicaInfo &info)
{
    engine = EngineRecord {};
    engine.info = info;
}

const ModelCopy *listedCopy(const EngineRecord &engine, const std::string &model)
{
    const auto found = std::find_if(engine.info.models.begin(), engine.info.models.end(),
                                    [&](const ModelCopy &copy) { return copy.model == model; });
    return found == engine.info.models.end() ? nullptr : &*found;
}

bool hasAdapter(const EngineRecord &engine, const std::string &model, const std::string &adapter)
{
    if (engine.pendingAdapters.contains(copyName(model, adapter)))
        return true;
    const std::string name = copyName(model, adapter);
    return holdsCopy(engine.info.models, name) || holdsCopy(engine.reported, name);
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
    if (engine.openOrder && engine.openOrder->load && !engine.openOrder->adapter.empty())
        names.insert(copyName(engine.openOrder->model, engine.openOrder->adapter));
    return static_cast<int>(names.size());
}

bool loadsFromStore(const EngineRecord &engine, const std::string &model)
{
    return !contains(engine.info.inHostMemory, model) && !contains(engine.info.onDisk, model);
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

double freeMemory(const EngineRecord &engine, const EngineLimits &limits, double usableShare)
{
    double used = 0.0;
    double adapterMb = 0.0;
    std::set<std::string> models;
    for (const ModelCopy &copy : engine.info.models)
        models.insert(copy.model);
    for (const ModelCopy &copy : engine.reported)
        models.insert(copy.model);
    for (const auto &[model, expiresAt] : engine.loading)
        models.insert(model);
    if (engine.openOrder && engine.openOrder->load && engine.openOrder->adapter.empty())
        models.insert(engine.openOrder->model);
    for (const std::string &name : models) {
        const EngineModel *model = findModel(limits, name);
        if (model == nullptr)
            return 0.0; // its size is unknown: nothing more may be loaded
        used += model->memoryMb;
    }
    for (const EngineModel &model : limits.models)
        adapterMb = std::max(adapterMb, model.adapterMb);
    used += adapterMb * limits.adapterSlots; // all slots: adapters may be loaded at any time
    return limits.weightsMb * usableShare - used;
}

bool canTakeOrder(const EngineRecord &engine)
{
    return !engine.info.draining && engine.orderCountKnown && !engine.openOrder
            && engine.unloading.empty() && engine.loading.empty();
}

} // namespace burdock
