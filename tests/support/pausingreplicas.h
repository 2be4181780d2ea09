// Plays requests through RequestFlow against replicas that fall silent within their answers.
#pragma once

#include "support/pausingserver.h"
#include "support/requestflowfixture.h"

namespace burdock {

struct PausingReplicas : public RequestFlowFixture
{
    std::vector<std::unique_ptr<PausingServer>> replicas;

    /// The first replica that is added gets the first attempts.
    PausingServer &add(std::vector<PausingServer::Step> steps)
    {
        replicas.push_back(std::make_unique<PausingServer>(io, std::move(steps)));
        ReplicaInfo info;
        info.id = "r" + std::to_string(replicas.size() - 1);
        info.service = service;
        info.address = toText(replicas.back()->endpoint());
        info.startedMs = 1;
        info.slots = 64;
        info.zone = replicas.size() == 1 ? "" : "far";
        state->replicas.onAnnounced(info, steadyNow());
        return *replicas.back();
    }

    void spendBudget()
    {
        while (state->budgetOf(service).trySpend())
            continue;
    }

    /// Plays so many requests at once.
    std::vector<Caller> play(const char *path, std::size_t count)
    {
        const HttpRequest request = callerRequest(path);
        std::vector<Caller> callers(count);
        std::vector<std::unique_ptr<RequestFlow>> flows;
        std::size_t done = 0;
        for (Caller &each : callers) {
            flows.push_back(std::make_unique<RequestFlow>(*state, nodes, request, each));
            asio::co_spawn(io, flows.back()->run(), [&done](const std::exception_ptr &failure) {
                done++;
                if (failure)
                    std::rethrow_exception(failure);
            });
        }
        const Instant end = steadyNow() + 4s;
        while (done < count && steadyNow() < end) {
            io.restart();
            io.run_for(5ms);
            state->waiting.tick();
            checkSilentAttempts(*state);
        }
        CHECK_EQUAL(count, done);
        io.run_for(50ms);
        return callers;
    }
};

} // namespace burdock
