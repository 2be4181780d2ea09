// Distributes the demand of each model over its copies by water-filling, so that engines are loaded
// as evenly as the copies allow.
//
// Index
//   DemandFill   load of each copy, load above the target, and the gain of an additional copy
//
// All figures are in engine capacity (requests per second at cost 1). Copies of the published
// version that are ready or loading on a serving engine take demand; unreliable copies and copies
// of an old version do not. The target of an engine is its capacity times the target utilisation.
#pragma once

#include "decide/placementplanner.h"

#include <vector>

namespace burdock {

class DemandFill
{
public:
    /// Distributes the demand. Keeps a reference to the input, which must outlive the object.
    explicit DemandFill(const PlacementInput &input);

    /// @return the demand of all models
    double demand() const { return m_demand; }

    /// @return demand of all models that exceeds the targets or has no copy to serve it
    double unserved() const;

    /// @return the part of one model's demand that is not served in time; all of it without a copy
    double unservedOf(std::size_t model) const;

    /// @return the load assigned to one copy
    double loadOf(std::size_t copy) const { return m_shares[copy]; }

    /// @return the load that an engine can take before it reaches its target; negative above it
    double spareCapacity(std::size_t engine) const { return m_target[engine] - m_load[engine]; }

    /// @return the model's load on overloaded engines that copies on other engines could take over
    double relief(std::size_t model) const;

    /// @return models with a relief above 0, the largest relief first
    std::vector<std::size_t> modelsByRelief() const;

    /// @return the additional load served in time with a copy of the model on that engine
    double gain(std::size_t model, std::size_t engine) const;

    /// @return the load no longer served in time without that copy
    double loss(std::size_t copy) const;

    /// Moves load from the model's copies on overloaded engines to a new copy on that engine.
    void addCopy(std::size_t model, std::size_t engine);

private:
    void fillModel(std::size_t model);
    double overload(std::size_t engine) const;

    const PlacementInput &m_input;
    double m_demand = 0.0;
    std::vector<double> m_target;                   // of each engine
    std::vector<double> m_load;                     // of each engine
    std::vector<double> m_shares;                   // of each copy
    std::vector<std::vector<std::size_t>> m_copies; // of each model, copies that take demand
};

} // namespace burdock
