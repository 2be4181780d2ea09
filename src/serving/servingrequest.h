// A caller's request as the serving decisions see it, independent of the interface it arrived by.
//
// Index
//   PromptPart       a section of a prompt that several requests may have in common
//   ServingRequest   the service and model requested, the prompt and the time limits
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdock {

struct PromptPart
{
    std::uint64_t id = 0; // parts with equal ids contain the same tokens
    int tokens = 0;       // length in tokens
};

struct ServingRequest
{
    std::uint64_t id = 0; // unique on this node
    std::string service;  // name of the requested service
    std::string model;    // empty for plain services
    std::string adapter;  // empty for the model without an adapter
    // The parts in order. Requests may share all but the last, which belongs to this request or its
    // session only.
    std::vector<PromptPart> prompt;
    int promptTokens = 0;     // length of the complete prompt in tokens
    int outputTokens = 0;     // maximum length of the response in tokens
    bool repeatable = false;  // whether the request may run more than once
    bool resumable = false;   // whether another replica may continue its event stream
    bool streams = false;     // whether the response is a stream of events
    std::string organisation; // on whose behalf it is sent; empty: none is known
    // Position among all pairs of an organisation's and a route's priority, see RankTable; 0 is the
    // most urgent.
    int priority = 0;
    int attempts = 1;  // maximum number of replicas that may run it
    Instant arrivedAt; // when the request arrived at this node
    // Target for the first byte; a later response has less value for the caller.
    Instant firstByteObjective;
    Instant deadline; // the complete response is due by this time
    // The caller leaves if the first byte has not come by this time; Instant::max(): only at the
    // deadline.
    Instant firstByteDeadline = Instant::max();
};

} // namespace burdock
