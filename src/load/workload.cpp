#include "load/workload.h"

#include "base/hashing.h"
#include "decide/upstreamtable.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace burdock {

using namespace std::chrono_literals;

namespace {

constexpr std::size_t HotModel = 3;      // the one that grows tenfold
constexpr std::size_t FloodedModel = 1;  // the one that is flooded
constexpr int Customers = 40;            // beside the large one
constexpr double FloodShare = 0.6;       // of the mean demand, while the flood lasts
constexpr double FastShare = 0.6;        // of the requests
constexpr double AdapterShare = 0.5;     // of the requests to models with adapters
constexpr double HighestFactor = 11.0;   // no scenario goes above it
constexpr double MeanOutputTokens = 200; // tokens generated

/// @return how far a run is, from 0 to 1
double progress(Instant at, Duration length)
{
    return double(at.time_since_epoch().count()) / double(length.count());
}

bool between(double value, double from, double to)
{
    return value >= from && value < to;
}

} // namespace

// ---- Deployments --------------------------------------------------------------------------------

Deployment peachline()
{
    Deployment made;
    made.name = "peachline";
    made.zoneOneWay = 1500us;
    made.clientOneWay = 1000us;
    return made;
}

Deployment lachance()
{
    Deployment made;
    made.name = "lachance";
    made.replicas = 12;
    made.zones = 4;
    made.models = 25;
    made.adapters = 70;
    made.loadsPerSecond = 1.4;
    made.loadsAtOnce = 11;
    made.adapterKnee = 90;
    made.zoneOneWay = 500us;
    made.clientOneWay = 3000us;
    made.requestsPerSecond = 27;
    made.engine.memoryMb = 110'000;
    return made;
}

Deployment futureFleet(int replicas)
{
    Deployment made = peachline();
    const double scale = replicas / 1700.0;
    made.name = "fleet-" + std::to_string(replicas);
    made.replicas = replicas;
    made.zones = 8;
    made.entryNodes = std::max(8, static_cast<int>(380 * scale));
    made.models = std::max(20, static_cast<int>(350 * scale));
    made.adapters = 6 * made.models;
    made.requestsPerSecond = 44.0 / 18.0 * replicas;
    made.loadsPerSecond = 2.0 * replicas / 18.0;
    made.loadsAtOnce = std::max(3, replicas / 6);
    made.adapterKnee = 24 * replicas / 18;
    return made;
}

// ---- Scenarios ----------------------------------------------------------------------------------

std::string scenarioName(Scenario scenario)
{
    switch (scenario) {
    case Scenario::Diurnal:
        return "diurnal";
    case Scenario::Burst:
        return "burst";
    case Scenario::Tenfold:
        return "tenfold";
    case Scenario::Flood:
        return "flood";
    case Scenario::ZoneLost:
        return "zone-lost";
    }
    return "diurnal";
}

std::vector<Scenario> allScenarios()
{
    return { Scenario::Diurnal, Scenario::Burst, Scenario::Tenfold, Scenario::Flood,
             Scenario::ZoneLost };
}

bool zoneIsLost(Scenario scenario, Instant at, Duration length)
{
    return scenario == Scenario::ZoneLost && between(progress(at, length), 0.3, 0.7);
}

double Workload::factor(std::size_t model, Instant at) const
{
    const double done = progress(at, m_length);
    switch (m_scenario) {
    case Scenario::Diurnal: {
        // Half of the models peak a few hours before the others.
        const double phase = model % 2 == 0 ? 0.0 : 0.2;
        return 1.0 - 0.7 * std::cos(2.0 * std::numbers::pi * (done + phase));
    }
    case Scenario::Burst: {
        const bool shiftChange = between(done, 0.2, 0.25) || between(done, 0.6, 0.65);
        const bool cutoff = between(done, 0.4, 0.5);
        if (shiftChange && model % 4 == 0)
            return 2.5;
        return cutoff && model % 4 == 1 ? 3.0 : 0.8;
    }
    case Scenario::Tenfold: {
        const double grown = std::clamp((done - 0.2) / 0.4, 0.0, 1.0);
        return model == HotModel ? std::pow(10.0, grown) : 0.7;
    }
    case Scenario::Flood:
    case Scenario::ZoneLost:
        return 0.7;
    }
    return 1.0;
}

double Workload::rate(std::size_t model, Instant at) const
{
    double sum = m_models[model].share * m_deployment.requestsPerSecond * factor(model, at);
    const bool flooded = m_scenario == Scenario::Flood && model == FloodedModel
            && between(progress(at, m_length), 0.25, 0.75);
    if (flooded)
        sum += FloodShare * m_deployment.requestsPerSecond;
    return sum;
}

// ---- Requests -----------------------------------------------------------------------------------

Workload::Workload(const Deployment &deployment, Scenario scenario, Duration length,
                   std::uint64_t seed)
    : m_deployment(deployment)
    , m_scenario(scenario)
    , m_length(length)
    , m_random(seed)
{
    makeModels();
    m_nextFlood = Instant(length / 4);
}

void Workload::makeModels()
{
    constexpr double Skew = 0.9; // of the models' popularity
    double sum = 0.0;
    for (int number = 0; number < m_deployment.models; ++number) {
        DemandModel model;
        model.name = "model-" + std::to_string(number);
        model.key = servingKey(model.name, "1");
        model.memoryMb = 12'000 + static_cast<std::int64_t>(m_random.below(16'000));
        model.share = 1.0 / std::pow(number + 1, Skew);
        sum += model.share;
        m_models.push_back(model);
    }
    for (DemandModel &model : m_models)
        model.share /= sum;
    for (int number = 0; number < m_deployment.adapters; ++number) {
        DemandModel &model = m_models[m_random.below(m_models.size())];
        model.adapters.push_back(model.name + "/adapter-" + std::to_string(number));
    }
}

std::size_t Workload::drawModel(Instant)
{
    double left = m_random.unit();
    for (std::size_t each = 0; each < m_models.size(); ++each) {
        left -= m_models[each].share;
        if (left < 0.0)
            return each;
    }
    return m_models.size() - 1;
}

std::string Workload::drawCustomer()
{
    const double skewed = m_random.unit() * m_random.unit();
    return "customer-" + std::to_string(static_cast<int>(skewed * Customers));
}

Arrival Workload::make(Instant at, std::size_t model, const std::string &customer,
                       RequestClass requestClass)
{
    constexpr int ModelBlocks = 8;    // the model's own instructions
    constexpr int CustomerBlocks = 4; // the customer's
    const DemandModel &asked = m_models[model];

    Arrival made;
    made.at = at;
    made.id = m_nextId++;
    made.requestClass = requestClass;
    made.customer = customer;
    made.model = model;
    if (!asked.adapters.empty() && m_random.unit() < AdapterShare)
        made.adapter = asked.adapters[m_random.below(asked.adapters.size())];
    std::uint64_t hash = hashText(asked.key + made.adapter);
    for (int block = 0; block < ModelBlocks + CustomerBlocks; ++block) {
        hash = hashPair(hash, block < ModelBlocks ? "model" : customer);
        made.prefix.push_back(hash);
    }
    made.promptTokens = (ModelBlocks + CustomerBlocks) * m_deployment.engine.blockTokens + 50
            + static_cast<int>(m_random.below(300));
    const double tokens = -std::log(1.0 - m_random.unit()) * MeanOutputTokens;
    made.outputTokens = std::clamp(static_cast<int>(tokens), 4, 1000);
    made.patience = requestClass == RequestClass::Fast ? Duration(2s) : Duration(30s);
    return made;
}

std::optional<Arrival> Workload::nextFlood()
{
    if (m_scenario != Scenario::Flood || m_nextFlood >= Instant(m_length * 3 / 4))
        return std::nullopt;
    const double perSecond = FloodShare * m_deployment.requestsPerSecond;
    const double gap = -std::log(1.0 - m_random.unit()) / perSecond;
    const Instant at = m_nextFlood;
    m_nextFlood += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
    return make(at, FloodedModel, "large", RequestClass::MayWait);
}

std::optional<Arrival> Workload::next()
{
    // Poisson arrivals at the highest rate, thinned to the rate of the moment.
    const double perSecond = HighestFactor * m_deployment.requestsPerSecond;
    while (m_next < Instant(m_length)) {
        if (m_scenario == Scenario::Flood && m_nextFlood <= m_next) {
            std::optional<Arrival> flood = nextFlood();
            if (flood)
                return flood;
        }
        const Instant at = m_next;
        const double gap = -std::log(1.0 - m_random.unit()) / perSecond;
        m_next += std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap));
        const std::size_t model = drawModel(at);
        if (m_random.unit() * HighestFactor >= factor(model, at))
            continue;
        const bool fast = m_random.unit() < FastShare;
        return make(at, model, drawCustomer(), fast ? RequestClass::Fast : RequestClass::MayWait);
    }
    return std::nullopt;
}

} // namespace burdock
