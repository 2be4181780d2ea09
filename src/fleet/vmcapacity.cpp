#include "fleet/vmcapacity.h"

#include <algorithm>
#include <cmath>

namespace burdock {

namespace {

constexpr double RequestsPerCore = 210.0;
constexpr double RequestsPerMbps = 2.5; // prompts in and out, streams in and out, notes to others
constexpr double RequestsPerMb = 0.2;   // buffers of connections, requests and answers

} // namespace

double requestCapacity(const VmLimits &limits)
{
    double capacity = 0.0;
    const auto bound = [&](double requests) {
        if (requests > 0.0)
            capacity = capacity > 0.0 ? std::min(capacity, requests) : requests;
    };
    bound(limits.processor * RequestsPerCore);
    bound(limits.linkMbps * RequestsPerMbps);
    bound(limits.memoryMb * RequestsPerMb);
    return std::floor(capacity);
}

} // namespace burdock
