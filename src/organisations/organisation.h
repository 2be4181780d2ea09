// Organisations on whose behalf callers send requests, as the configuration names them.
//
// Index
//   Quota          what an organisation may spend over all nodes together
//   Organisation
//   requestCost()  what a request counts as against a quota
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace burdock {

struct Quota
{
    double perSecond = 0.0;    // requests or tokens a second
    double burst = 0.0;        // and as many more at once
    bool countsTokens = false; // whether both count tokens; otherwise they count requests
    double plainTokens = 1.0;  // what a request without prompt counts as, in tokens
};

struct Organisation
{
    std::string name; // unique; replicas receive it with each request
    std::vector<std::string>
            keys;               // each identifies the organisation; without keys it has no access
    int priority = 0;           // precedes the route's priority; 0 is the most urgent
    std::optional<Quota> quota; // nothing: it may send any number of requests
};

/// @param promptTokens, outputTokens of the request; both 0 if it states none
/// @return what the request counts as against the quota
inline double requestCost(const Quota &quota, int promptTokens, int outputTokens)
{
    if (!quota.countsTokens)
        return 1.0;
    const double tokens = double(promptTokens) + double(outputTokens);
    return tokens > 0.0 ? tokens : quota.plainTokens;
}

} // namespace burdock
