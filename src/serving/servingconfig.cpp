#include "serving/servingconfig.h"

#include <algorithm>
#include <cassert>

namespace burdock {

const EngineModel *findModel(const EngineLimits &engine, std::string_view model)
{
    const auto found = std::find_if(engine.models.begin(), engine.models.end(),
                                    [&](const EngineModel &each) { return each.name == model; });
    return found == engine.models.end() ? nullptr : &*found;
}

RankTable::RankTable(const ServingConfig &config)
    : m_hasOrganisations(config.organisations.has_value())
{
    if (!m_hasOrganisations)
        return;
    for (const ServingRoute &route : config.routes) {
        for (const Organisation &organisation : *config.organisations)
            m_pairs.emplace_back(organisation.priority, route.priority);
        if (route.isPublic)
            m_pairs.emplace_back(0, route.priority); // callers without a key
    }
    std::sort(m_pairs.begin(), m_pairs.end());
    m_pairs.erase(std::unique(m_pairs.begin(), m_pairs.end()), m_pairs.end());
}

int RankTable::rank(int organisationPriority, int routePriority) const
{
    if (!m_hasOrganisations)
        return routePriority;
    const auto position = std::lower_bound(m_pairs.begin(), m_pairs.end(),
                                           std::pair(organisationPriority, routePriority));
    return static_cast<int>(position - m_pairs.begin());
}

RouteTable::RouteTable(std::shared_ptr<const ServingConfig> config)
    : m_config(std::move(config))
{
    assert(m_config
           && "config must not be null; pass an empty configuration if none was received yet");
    for (const ServingRoute &route : m_config->routes) {
        if (!route.targets.empty())
            m_byHost[route.host].push_back(&route);
    }
    for (auto &[host, routes] : m_byHost) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const ServingRoute *left, const ServingRoute *right) {
                             return left->pathPrefix.size() > right->pathPrefix.size();
                         });
    }
}

const ServingRoute *RouteTable::find(std::string_view host, std::string_view path) const
{
    const std::string name(host.substr(0, host.find(':')));
    const auto routes = m_byHost.find(name);
    if (routes == m_byHost.end())
        return nullptr;
    for (const ServingRoute *route : routes->second) {
        if (path.starts_with(route->pathPrefix))
            return route;
    }
    return nullptr;
}

const std::string &chooseService(const ServingRoute &route, double point)
{
    assert(!route.targets.empty()
           && "the route has no target; RouteTable does not return such routes");
    double total = 0.0;
    for (const ServiceShare &target : route.targets)
        total += target.weight;
    double remaining = point * total;
    for (const ServiceShare &target : route.targets) {
        remaining -= target.weight;
        if (remaining < 0.0)
            return target.service;
    }
    return route.targets.back().service;
}

} // namespace burdock
