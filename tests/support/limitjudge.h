// Checks that the nodes together keep a replica's request limit, from what the replica sees.
#pragma once

#include "base/instant.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace burdock {

struct LimitJudge
{
    static constexpr Duration Window = std::chrono::seconds(4);
    /// Requests count from this time after their node was told of the limit.
    static constexpr Duration ToldDelay = std::chrono::milliseconds(500);
    static constexpr double Tolerance = 1.5;
    static constexpr int Slack = 5;

    /// Records an answer that stated the limit and that the node passed on.
    void onTold(const std::string &node, Instant now) { told.try_emplace(node, now); }

    /// Records a request that arrived at the replica.
    void onArrived(const std::string &node, Instant now)
    {
        const auto at = told.find(node);
        if (at != told.end() && now >= at->second + ToldDelay)
            counted.push_back(now);
    }

    /// @return the most requests that were counted in any window
    std::size_t worstWindow() const
    {
        std::vector<Instant> times = counted;
        std::sort(times.begin(), times.end());
        std::size_t worst = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] > Window)
                ++first;
            worst = std::max(worst, last - first + 1);
        }
        return worst;
    }

    /// @param limit requests a second that the replica states
    /// @return requests that it may get in one window
    static std::size_t allowed(double limit)
    {
        const double seconds = double(Window.count()) / 1e6;
        return static_cast<std::size_t>(std::floor(Tolerance * limit * seconds)) + Slack;
    }

    std::map<std::string, Instant> told; // by node
    std::vector<Instant> counted;
};

} // namespace burdock
