#include "settings/catalogcheck.h"

#include "settings/jsonreader.h"

namespace burdock {

namespace {

class FileSetChecker
{
public:
    explicit FileSetChecker(const std::map<std::string, GroupCapacity> &capacities)
        : m_capacities(capacities)
    {
    }

    void check(const ServiceFile &file)
    {
        checkService(file);
        checkGroup(file);
        for (const ModelEntry &model : file.service.models)
            checkModel(file, model);
        checkMemory(file);
    }

    std::vector<Error> takeErrors() { return std::move(m_errors); }

private:
    void refuse(const ServiceFile &file, ResultCode code, const std::string &path,
                const std::string &reason)
    {
        m_errors.push_back(Error { code, file.fileName + ": " + path + ": " + reason });
    }

    void checkService(const ServiceFile &file)
    {
        const auto [other, isNew] = m_services.try_emplace(file.service.name, &file);
        if (!isNew) {
            refuse(file, ResultCode::SettingsClash, "$.service",
                   file.service.name + " is also published by " + other->second->fileName);
        }
        const std::size_t size = serviceToJson(file.service).size();
        if (size > MaxStoredServiceBytes) {
            refuse(file, ResultCode::SettingsOutOfRange, "$",
                   "takes " + std::to_string(size) + " bytes when stored, more than "
                           + std::to_string(MaxStoredServiceBytes));
        }
    }

    void checkGroup(const ServiceFile &file)
    {
        const auto [other, isNew] = m_groups.try_emplace(file.service.upstreamGroup, &file);
        const bool holdsModels = file.service.kind == ServiceKind::Models
                || other->second->service.kind == ServiceKind::Models;
        if (isNew || !holdsModels)
            return;
        refuse(file, ResultCode::SettingsClash, "$.upstreams",
               "the group " + file.service.upstreamGroup + " holds models and is also used by "
                       + other->second->fileName);
    }

    void checkModel(const ServiceFile &file, const ModelEntry &model)
    {
        const auto [other, isNew] = m_models.try_emplace(model.name, &file);
        if (!isNew) {
            refuse(file, ResultCode::SettingsClash, "$.models",
                   "the model " + model.name + " is also published by " + other->second->fileName);
        }
    }

    void checkMemory(const ServiceFile &file)
    {
        const auto capacity = m_capacities.find(file.service.upstreamGroup);
        if (capacity == m_capacities.end())
            return;
        std::int64_t resident = 0;
        for (const ModelEntry &model : file.service.models) {
            resident += model.memoryMb * model.minReplicas;
            if (model.memoryMb <= capacity->second.largestMb)
                continue;
            refuse(file, ResultCode::SettingsOutOfRange, "$.models",
                   "the model " + model.name + " takes " + std::to_string(model.memoryMb)
                           + " MB, more than the largest upstream of " + capacity->first + " has ("
                           + std::to_string(capacity->second.largestMb) + " MB)");
        }
        if (resident <= capacity->second.totalMb)
            return;
        refuse(file, ResultCode::SettingsOutOfRange, "$.models",
               "the copies that stay resident take " + std::to_string(resident)
                       + " MB, more than all upstreams of " + capacity->first + " have ("
                       + std::to_string(capacity->second.totalMb) + " MB)");
    }

    const std::map<std::string, GroupCapacity> &m_capacities;
    std::map<std::string, const ServiceFile *> m_services; // first file of each service
    std::map<std::string, const ServiceFile *> m_groups;   // first file of each upstream group
    std::map<std::string, const ServiceFile *> m_models;   // first file of each model
    std::vector<Error> m_errors;
};

} // namespace

std::vector<Error> checkCatalog(const std::vector<ServiceFile> &files,
                                const std::map<std::string, GroupCapacity> &capacities)
{
    FileSetChecker checker(capacities);
    for (const ServiceFile &file : files)
        checker.check(file);
    return checker.takeErrors();
}

Result<ServiceCatalog> buildCatalog(const std::vector<ServiceFile> &files)
{
    const std::vector<Error> errors = checkCatalog(files);
    if (!errors.empty())
        return joinErrors(errors);
    ServiceCatalog catalog;
    for (const ServiceFile &file : files)
        catalog.services.emplace(file.service.name, file.service);
    return catalog;
}

} // namespace burdock
