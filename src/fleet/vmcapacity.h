// What a VM bears, as a number of requests, so that roles go to the VMs that can carry them.
//
// Index
//   VmLimits          processor, memory and link of a VM, as its settings state them
//   requestCapacity   callers' requests per second that such a VM is planned for
#pragma once

namespace burdock {

struct VmLimits
{
    double processor = 0.0; // cores, e.g. 0.12; 0: not stated
    double memoryMb = 0.0;  // of one process; 0: not stated
    double linkMbps = 0.0;  // of the VM's link; 0: not stated
};

/// @return requests per second that the VM is planned for, by what runs out first; about a sixth of
///         what its processor can do, which leaves room for a burst; 0 if nothing is stated. A
///         whole number, as heartbeats tell it: nodes rank themselves by what the others know of
///         them.
double requestCapacity(const VmLimits &limits);

} // namespace burdock
