// A caller's request as the serving decisions see it, whichever interface it came by.
//
// Index
//   PromptPart       a part of a prompt that requests may share
//   ServingRequest   what is asked for, and until when
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <string>
#include <vector>

namespace burdock {

struct PromptPart
{
    std::uint64_t id = 0; // equal ids hold equal tokens
    int tokens = 0;       // its length
};

struct ServingRequest
{
    std::uint64_t id = 0;           // unique on this node
    std::string service;            // which service is to answer it
    std::string model;              // empty for plain services
    std::string adapter;            // empty for the bare model
    std::vector<PromptPart> prompt; // in order; the last part is the request's or its session's own
    int promptTokens = 0;           // length of the whole prompt
    int outputTokens = 0;           // at most
    bool repeatable = false;        // may run more than once
    bool resumable = false;         // its stream may go on at another replica
    bool streams = false;           // answered by a stream of events
    int priority = 0;               // 0 is the most urgent
    int attempts = 1;               // replicas it may be sent to
    Instant arrived;                // when it came to this node
    Instant objective;              // a first byte until here earns full credit
    Instant deadline;               // it must have its final answer by then
};

} // namespace burdock
