#include "decide/demandfill.h"

#include <algorithm>
#include <numeric>

namespace burdock {

namespace {

// Each round distributes every model once over the capacity that the other models leave. The loads
// converge within a few rounds.
constexpr int FillRounds = 6;

bool takesDemand(const PlacementInput &input, const PlannerCopy &copy)
{
    return copy.model != UnpublishedModel && copy.state != PlannerCopyState::Unreliable
            && copy.version == input.models[copy.model].version
            && input.engines[copy.engine].serving;
}

double demandOf(const PlannerModel &model)
{
    return model.demand * model.cost;
}

} // namespace

DemandFill::DemandFill(const PlacementInput &input)
    : m_input(input)
    , m_load(input.engines.size(), 0.0)
    , m_shares(input.copies.size(), 0.0)
    , m_copies(input.models.size())
{
    for (const PlannerEngine &engine : input.engines)
        m_target.push_back(engine.capacity * input.settings.targetUtilization);
    for (std::size_t copy = 0; copy < input.copies.size(); ++copy) {
        if (takesDemand(input, input.copies[copy]))
            m_copies[input.copies[copy].model].push_back(copy);
    }
    for (const PlannerModel &model : input.models)
        m_demand += demandOf(model);
    for (int round = 0; round < FillRounds; ++round) {
        for (std::size_t model = 0; model < input.models.size(); ++model)
            fillModel(model);
    }
}

// Distributes the model's demand so that the engines of its copies reach one common utilisation,
// including the load of other models. Engines that are already above that level get no share.
void DemandFill::fillModel(std::size_t model)
{
    std::vector<std::size_t> &copies = m_copies[model];
    for (const std::size_t copy : copies)
        m_load[m_input.copies[copy].engine] -= m_shares[copy];
    const auto utilization = [this](std::size_t copy) {
        const std::size_t engine = m_input.copies[copy].engine;
        return m_load[engine] / std::max(m_target[engine], 1e-9);
    };
    std::sort(copies.begin(), copies.end(), [&](std::size_t left, std::size_t right) {
        const double leftUse = utilization(left);
        const double rightUse = utilization(right);
        return leftUse != rightUse ? leftUse < rightUse : left < right;
    });
    double capacity = 0.0;
    double load = demandOf(m_input.models[model]);
    double level = 0.0;
    for (std::size_t used = 0; used < copies.size(); ++used) {
        const std::size_t engine = m_input.copies[copies[used]].engine;
        if (used > 0 && level <= utilization(copies[used]))
            break;
        capacity += std::max(m_target[engine], 1e-9);
        load += m_load[engine];
        level = load / capacity;
    }
    for (const std::size_t copy : copies) {
        const std::size_t engine = m_input.copies[copy].engine;
        m_shares[copy] = std::max(0.0, level * std::max(m_target[engine], 1e-9) - m_load[engine]);
    }
    for (const std::size_t copy : copies)
        m_load[m_input.copies[copy].engine] += m_shares[copy];
}

double DemandFill::overload(std::size_t engine) const
{
    return std::max(0.0, m_load[engine] - m_target[engine]);
}

double DemandFill::unserved() const
{
    double sum = 0.0;
    for (std::size_t engine = 0; engine < m_load.size(); ++engine)
        sum += overload(engine);
    for (std::size_t model = 0; model < m_copies.size(); ++model) {
        if (m_copies[model].empty())
            sum += demandOf(m_input.models[model]);
    }
    return sum;
}

double DemandFill::unservedOf(std::size_t model) const
{
    if (m_copies[model].empty())
        return demandOf(m_input.models[model]);
    double sum = 0.0;
    for (const std::size_t copy : m_copies[model]) {
        const std::size_t engine = m_input.copies[copy].engine;
        if (m_load[engine] > 0.0)
            sum += m_shares[copy] * overload(engine) / m_load[engine];
    }
    return sum;
}

double DemandFill::relief(std::size_t model) const
{
    double sum = 0.0;
    for (const std::size_t copy : m_copies[model])
        sum += std::min(m_shares[copy], overload(m_input.copies[copy].engine));
    return sum;
}

std::vector<std::size_t> DemandFill::modelsByRelief() const
{
    std::vector<double> reliefs(m_copies.size());
    std::vector<std::size_t> models;
    for (std::size_t model = 0; model < m_copies.size(); ++model) {
        reliefs[model] = relief(model);
        if (reliefs[model] > 0.0)
            models.push_back(model);
    }
    std::sort(models.begin(), models.end(), [&reliefs](std::size_t left, std::size_t right) {
        return reliefs[left] != reliefs[right] ? reliefs[left] > reliefs[right] : left < right;
    });
    return models;
}

double DemandFill::gain(std::size_t model, std::size_t engine) const
{
    return std::min(relief(model), std::max(0.0, spareCapacity(engine)));
}

double DemandFill::loss(std::size_t copy) const
{
    const PlannerCopy &row = m_input.copies[copy];
    if (row.model == UnpublishedModel || !takesDemand(m_input, row))
        return 0.0;
    double elsewhere = 0.0;
    for (const std::size_t other : m_copies[row.model]) {
        if (other != copy)
            elsewhere += std::max(0.0, spareCapacity(m_input.copies[other].engine));
    }
    return std::max(0.0, m_shares[copy] - elsewhere);
}

void DemandFill::addCopy(std::size_t model, std::size_t engine)
{
    const double moved = gain(model, engine);
    const double total = relief(model);
    if (total <= 0.0)
        return;
    for (const std::size_t copy : m_copies[model]) {
        const std::size_t from = m_input.copies[copy].engine;
        const double part = std::min(m_shares[copy], overload(from)) * moved / total;
        m_shares[copy] -= part;
        m_load[from] -= part;
    }
    m_load[engine] += moved;
}

} // namespace burdock
