// Spreads the demand of each model over its copies, so that engines are loaded as evenly as the
// copies allow.
//
// Index
//   DemandFill   shares, what is above the target, and what one more copy would gain
//
// All figures are in engine capacity (requests per second at cost 1). Copies that are ready or on
// their way count; copies of an old version do not.
#pragma once

#include "decide/placementplanner.h"

#include <vector>

namespace burdock {

class DemandFill
{
public:
    explicit DemandFill(const PlacementInput &input);

    /// @return the demand of all models
    double demand() const { return m_demand; }

    /// @return the demand above the target utilisation, or without any copy
    double unserved() const;

    /// @return the part of one model's demand that is not served in time
    double unservedOf(std::size_t model) const;

    /// @return the load of one copy
    double shareOf(std::size_t copy) const { return m_shares[copy]; }

    /// @return how much more an engine takes before it reaches the target utilisation
    double spare(std::size_t engine) const { return m_target[engine] - m_load[engine]; }

    /// @return load that would leave engines above their target if the model had copies elsewhere
    double relief(std::size_t model) const;

    /// @return models with any relief, most first
    std::vector<std::size_t> modelsByRelief() const;

    /// @return what the fleet would serve more with a copy of the model on that engine
    double gain(std::size_t model, std::size_t engine) const;

    /// @return what the fleet would serve less without that copy
    double loss(std::size_t copy) const;

    /// Moves load to a new copy.
    void addCopy(std::size_t model, std::size_t engine);

private:
    void fillModel(std::size_t model);
    double overload(std::size_t engine) const;

    const PlacementInput &m_input;
    double m_demand = 0.0;
    std::vector<double> m_target;                   // of each engine
    std::vector<double> m_load;                     // of each engine
    std::vector<double> m_shares;                   // of each copy
    std::vector<std::vector<std::size_t>> m_copies; // of each model, those that count
};

} // namespace burdock
