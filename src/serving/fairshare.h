// Tells which organisation has had the least of a service lately, so that it is served next.
//
// Index
//   FairShareSettings
//   FairShare           tokens started lately by organisation
//
// Designed for the load in which one organisation sends several times its usual for seconds while
// its replicas have too little capacity for all. In a queue by due time its requests are most of
// the queue, and the others wait behind them or are refused. Among requests of one rank, the
// scheduler therefore starts next the one whose organisation has had the fewest prompt tokens
// started lately. Organisations that ask for less than an equal share get all they ask for; the
// others share the rest equally (max-min fairness).
//
// What was started counts half after a short time. An organisation that used capacity which no one
// else wanted is thus not held back for long once others want it, and none waits for ever: while it
// waits, its own count falls and those of the organisations before it rise.
//
// The state is local to a node and needs no messages: each node is fair to the callers that it has.
// It has one entry for each organisation with a start within some seconds.
#pragma once

#include "base/instant.h"

#include <string>
#include <unordered_map>

namespace burdock {

struct FairShareSettings
{
    Duration halfLife = std::chrono::seconds(1); // of started tokens
    double negligibleTokens = 0.5;               // an organisation with fewer is as one without any
};

class FairShare
{
public:
    explicit FairShare(FairShareSettings settings = {});

    /// @return what a request counts: its prompt tokens; for plain services, and prompts of unknown
    ///         length, one
    static double cost(int promptTokens) { return promptTokens > 1 ? promptTokens : 1.0; }

    /// Records the start of a request.
    /// @param cost see cost()
    void onStarted(const std::string &organisation, double cost, Instant now);

    /// @return cost of the organisation's requests that were started lately
    double startedLately(const std::string &organisation, Instant now) const;

    /// Removes the entries of organisations without recent starts. Call it every few seconds.
    void tick(Instant now);

    /// @return number of organisations with an entry
    std::size_t size() const { return m_started.size(); }

private:
    struct Started
    {
        double cost = 0.0; // at the time of the latest start
        Instant at;        // time of the latest start
    };

    double remaining(const Started &started, Instant now) const;

    FairShareSettings m_settings;
    std::unordered_map<std::string, Started> m_started; // by organisation
};

} // namespace burdock
