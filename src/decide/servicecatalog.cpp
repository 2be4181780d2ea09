#include "decide/servicecatalog.h"

#include <algorithm>

namespace burdock {

std::string requestClassName(RequestClass requestClass)
{
    switch (requestClass) {
    case RequestClass::Fast:
        return "fast";
    case RequestClass::MayWait:
        return "may-wait";
    case RequestClass::AtMostOnce:
        return "at-most-once";
    }
    return "fast";
}

std::optional<RequestClass> requestClassFromName(const std::string &name)
{
    for (RequestClass each :
         { RequestClass::Fast, RequestClass::MayWait, RequestClass::AtMostOnce }) {
        if (requestClassName(each) == name)
            return each;
    }
    return std::nullopt;
}

const Route *findRoute(const Service &service, const std::string &method, const std::string &path)
{
    const Route *best = nullptr;
    for (const Route &route : service.routes) {
        if (route.method != method || !path.starts_with(route.pathPrefix))
            continue;
        if (best == nullptr || route.pathPrefix.size() > best->pathPrefix.size())
            best = &route;
    }
    return best;
}

const ModelEntry *findModel(const Service &service, const std::string &model)
{
    const auto entry = std::find_if(service.models.begin(), service.models.end(),
                                    [&](const ModelEntry &each) { return each.name == model; });
    return entry == service.models.end() ? nullptr : &*entry;
}

} // namespace burdock
