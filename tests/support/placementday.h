// Plays some tens of seconds of a model service in simulated time: callers, replicas that carry out
// orders, and one CopyPlacement, for spans of which nobody holds the lease. Counts the models and
// adapters that callers ask for again and again and that are never served.
//
//   PlacementDay day(seed);
//   day.run(45s);
//   CHECK(day.neverServed().size() <= day.allowedUnserved());
#pragma once

#include "base/random.h"
#include "placing/copyplacement.h"
#include "placing/wantages.h"
#include "support/replicas.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <chrono>
#include <cmath>
#include <deque>
#include <map>
#include <memory>
#include <numeric>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace burdock {

using namespace std::chrono_literals;

// ---- Replicas -----------------------------------------------------------------------------------

/// A model replica: carries out one order for a model at a time; a copy that is unloaded serves its
/// runs to the end first. It says so when it leaves.
struct DayReplica
{
    struct Run
    {
        std::string model;
        std::string adapter;
        Instant endsAt;
    };

    std::string id;
    std::map<std::string, std::set<std::string>> models; // loaded, with their adapters
    std::deque<std::string> kept;                        // on its disk, the latest first
    std::vector<Run> runs;
    std::uint64_t accepted = 0;
    std::string loading;
    Instant loadedAt;
    std::string unloading; // model
    std::set<std::string> unloadingAdapters;
    std::map<std::string, Instant> arrivingAdapters;
    Instant promptsReadAt; // those of all its runs
    bool isLeaving = false;
    Instant goneAt = Instant::max();
    Instant nextListing;

    static constexpr std::size_t Slots = 64;
    static constexpr double PromptTokensPerMs = 19.0;
    static constexpr Duration MaxPromptWait = 1s; // callers are refused beyond that
    static constexpr std::size_t KeptModels = 6;  // that its disk holds
    static constexpr std::size_t InMemory = 2;    // of these, that its host memory holds

    bool isBusy() const { return !loading.empty() || !unloading.empty(); }

    bool uses(const std::string &model, const std::string &adapter) const
    {
        return std::any_of(runs.begin(), runs.end(), [&](const Run &run) {
            return run.model == model && (adapter.empty() || run.adapter == adapter);
        });
    }

    bool holds(const std::string &model, const std::string &adapter) const
    {
        const auto found = models.find(model);
        if (found == models.end() || model == unloading)
            return false;
        return adapter.empty()
                || (found->second.contains(adapter)
                    && !unloadingAdapters.contains(copyName(model, adapter)));
    }

    Duration loadTime(const EngineModel &model) const
    {
        const auto found = std::find(kept.begin(), kept.end(), model.name);
        if (found == kept.end())
            return model.storeLoadTime;
        return found - kept.begin() < std::ptrdiff_t(InMemory) ? model.hostMemoryLoadTime
                                                               : model.localDiskLoadTime;
    }

    void keep(const std::string &model)
    {
        std::erase(kept, model);
        kept.push_front(model);
        if (kept.size() > KeptModels)
            kept.pop_back();
    }

    OrderResult order(const EngineCommand &command, const EngineModel &model, Instant now)
    {
        if (command.ordersAccepted != accepted || isBusy())
            return OrderResult::Conflict;
        if (command.load && holds(command.model, command.adapter))
            return OrderResult::AlreadyDone;
        accepted++;
        if (!command.adapter.empty())
            return orderAdapter(command, now);
        if (command.load) {
            loading = command.model;
            loadedAt = now + loadTime(model);
        } else {
            unloading = command.model;
        }
        return OrderResult::Accepted;
    }

    OrderResult orderAdapter(const EngineCommand &command, Instant now)
    {
        constexpr Duration AdapterLoadTime = 20ms;
        const std::string copy = copyName(command.model, command.adapter);
        if (command.load) {
            arrivingAdapters[copy] = now + AdapterLoadTime;
            return OrderResult::Accepted;
        }
        if (uses(command.model, command.adapter)) {
            unloadingAdapters.insert(copy);
            return OrderResult::Accepted;
        }
        models[command.model].erase(command.adapter);
        return OrderResult::AlreadyDone;
    }

    void tick(Instant now)
    {
        std::erase_if(runs, [&](const Run &run) { return now >= run.endsAt; });
        if (!loading.empty() && now >= loadedAt) {
            models[loading];
            keep(loading);
            loading.clear();
        }
        if (!unloading.empty() && !uses(unloading, "")) {
            models.erase(unloading);
            unloading.clear();
        }
        std::erase_if(unloadingAdapters, [&](const std::string &copy) {
            const auto slash = copy.find('/');
            const std::string model = copy.substr(0, slash);
            const std::string adapter = copy.substr(slash + 1);
            if (uses(model, adapter))
                return false;
            if (const auto held = models.find(model); held != models.end())
                held->second.erase(adapter);
            return true;
        });
        std::erase_if(arrivingAdapters, [&](const auto &entry) {
            if (now < entry.second)
                return false;
            const auto slash = entry.first.find('/');
            if (const auto held = models.find(entry.first.substr(0, slash)); held != models.end())
                held->second.insert(entry.first.substr(slash + 1));
            return true;
        });
    }

    ReplicaInfo listing() const
    {
        std::vector<ModelCopy> held;
        for (const auto &[model, adapters] : models)
            held.push_back({ model, { adapters.begin(), adapters.end() } });
        ReplicaInfo info = poolReplica(id, std::move(held));
        for (std::size_t index = 0; index < kept.size(); ++index)
            (index < InMemory ? info.inHostMemory : info.onDisk).push_back(kept[index]);
        info.draining = isLeaving;
        return info;
    }

    EngineReport report() const
    {
        EngineReport made;
        made.startedMs = 1;
        made.ordersAccepted = accepted;
        made.busy = isBusy();
        made.models = listing().models;
        for (const auto &[copy, arrivesAt] : arrivingAdapters)
            made.pendingAdapters.push_back(copy);
        return made;
    }
};

// ---- Day ----------------------------------------------------------------------------------------

struct PlacementDay
{
    static constexpr int ReplicaCount = 12;
    static constexpr int ModelsPerReplica = 3;
    static constexpr int ModelCount = 26;
    static constexpr int HotModels = 4;     // that most requests are for
    static constexpr int SometimesHot = 10; // models that may become hot
    static constexpr int AdapterSlots = 3;
    static constexpr Duration Step = 20ms;
    static constexpr Duration HeartbeatTime = 1s;
    static constexpr Instant Start { 1'000s }; // when the first request comes

    explicit PlacementDay(std::uint64_t seed)
        : random(seed)
    {
        CopyPlacementSettings settings;
        settings.node = "node-1";
        placement = std::make_unique<CopyPlacement>(settings);
        service.name = "pool";
        EngineLimits engine;
        engine.weightsMb = 220'000.0;
        engine.adapterSlots = AdapterSlots;
        engine.loadsPerSecond = 1.4;
        for (int number = 0; number < ModelCount; ++number) {
            EngineModel model;
            model.name = "m" + std::to_string(number);
            model.memoryMb = 72'000.0;
            model.storeLoadTime = 8'600ms;
            model.hostMemoryLoadTime = 800ms;
            model.localDiskLoadTime = 1'700ms;
            model.adapters = number < SometimesHot && number % 2 == 0 ? 11 : 0;
            if (number == 0)
                model.adapters = 25;
            model.adapterMb = 66.0;
            engine.models.push_back(model);
        }
        service.engine = engine;
        ServingConfig config;
        config.version = 1;
        config.services[service.name] = service;
        placement->onConfig(config);
        for (int number = 0; number < SometimesHot; ++number)
            hot.push_back(number);
        placeAtStart();
        for (const DayReplica &replica : replicas)
            placement->onReplica(replica.listing(), now);
        placement->setHolder(true, ++m_term, false, now);
    }

    /// Moves most requests to other models.
    void shiftDemand() { std::rotate(hot.begin(), hot.begin() + 2, hot.end()); }

    /// From now on nobody may order, and, if the store is away, no listing arrives.
    void loseHolder(bool isStoreAway)
    {
        placement->setHolder(false, 0, true, now);
        m_isHeld = false;
        m_storeAway = isStoreAway;
    }

    /// A new holder begins. Entries of replicas that have gone are removed.
    void takeOver()
    {
        if (std::exchange(m_storeAway, false)) {
            for (DayReplica &replica : replicas)
                replica.nextListing = now + Duration(random.below(HeartbeatTime.count()));
        }
        for (const std::string &id : m_gone)
            placement->onReplicaRemoved(id);
        m_gone.clear();
        placement->setHolder(true, ++m_term, true, now);
        m_isHeld = true;
        m_demandReportedFrom = now + 200ms;
    }

    /// @param notice until it is gone
    void leave(std::size_t index, Duration notice)
    {
        replicas[index].isLeaving = true;
        replicas[index].goneAt = now + notice;
    }

    /// Makes a replica that holds the model leave.
    void leaveHolderOf(const std::string &model, Duration notice)
    {
        for (std::size_t index = 0; index < replicas.size(); ++index) {
            if (replicas[index].holds(model, "") && !replicas[index].isLeaving) {
                leave(index, notice);
                return;
            }
        }
    }

    static std::string nameOf(int model) { return "m" + std::to_string(model); }

    /// @return a replica that stays
    std::size_t anyStaying()
    {
        for (;;) {
            const auto index = static_cast<std::size_t>(random.below(replicas.size()));
            if (!replicas[index].isLeaving)
                return index;
        }
    }

    void run(Duration span)
    {
        for (const Instant end = now + span; now < end;)
            step();
    }

    /// @return models and adapters asked for four times or more, over 8 s or more, and never served
    std::vector<std::string> neverServed() const
    {
        std::vector<std::string> names;
        for (const auto &[copy, asked] : copies) {
            if (asked.isAskedForAllDay() && asked.served == 0)
                names.push_back(copy);
        }
        return names;
    }

    /// @return how many of the copies asked for all day may stay unserved: one, and a tenth of them
    std::size_t allowedUnserved() const
    {
        const auto count = std::count_if(copies.begin(), copies.end(), [](const auto &entry) {
            return entry.second.isAskedForAllDay();
        });
        return 1 + static_cast<std::size_t>(count) / 10;
    }

    double servedShare() const { return requests == 0 ? 1.0 : double(served) / requests; }

    struct Asked
    {
        int requests = 0;
        int served = 0;
        Instant first;
        Instant last;

        bool isAskedForAllDay() const { return requests >= 4 && last - first >= 8s; }
    };

    Random random;
    Instant now = Start;
    ServingService service;
    std::unique_ptr<CopyPlacement> placement;
    std::vector<DayReplica> replicas;
    std::vector<int> hot; // numbers of models, the most requested first
    std::map<std::string, Asked> copies;
    int requests = 0;
    int served = 0;
    int orders = 0;

private:
    struct Caller
    {
        std::string model;
        std::string adapter;
        Duration runTime {};
        int tokens = 0;
        Instant givesUpAt;
        Instant nextWantAt;
        bool mayReturn = true;
    };

    struct Row
    {
        double counted = 0.0;
        double perSecond = 0.0;
    };

    const EngineModel &modelNamed(const std::string &name) const
    {
        const auto &models = service.engine->models;
        const auto found = std::find_if(models.begin(), models.end(),
                                        [&](const EngineModel &each) { return each.name == name; });
        CHECK(found != models.end());
        return *found;
    }

    void placeAtStart()
    {
        for (int number = 0; number < ReplicaCount; ++number) {
            DayReplica replica;
            replica.id = "r" + std::to_string(number / 10) + std::to_string(number % 10);
            replicas.push_back(replica);
        }
        // Every model once; the hot ones again where there is room.
        constexpr auto Places = std::size_t(ReplicaCount) * ModelsPerReplica;
        std::vector<int> order(ModelCount);
        std::iota(order.begin(), order.end(), 0);
        while (order.size() < Places)
            order.push_back(hot[(order.size() - ModelCount) % HotModels]);
        for (std::size_t index = 0; index < order.size(); ++index) {
            DayReplica &replica = replicas[index % replicas.size()];
            const std::string model = "m" + std::to_string(order[index]);
            replica.models[model];
            replica.keep(model);
        }
    }

    void step()
    {
        now += Step;
        for (DayReplica &replica : replicas)
            replica.tick(now);
        endReplicas();
        listReplicas();
        arrive();
        serveWaiting();
        if (now >= m_nextBeat) {
            m_nextBeat = now + 500ms;
            sendDemand();
        }
        if (now >= m_nextPlan) {
            m_nextPlan = now + 40ms;
            placement->tick(now);
            carryOut();
        }
    }

    /// Lists each replica at its heartbeat.
    void listReplicas()
    {
        for (DayReplica &replica : replicas) {
            if (m_storeAway || now < replica.nextListing)
                continue;
            replica.nextListing = now + HeartbeatTime;
            placement->onReplica(replica.listing(), now);
        }
    }

    void endReplicas()
    {
        std::erase_if(replicas, [&](const DayReplica &replica) {
            if (now < replica.goneAt)
                return false;
            if (m_storeAway)
                m_gone.push_back(replica.id);
            else
                placement->onReplicaRemoved(replica.id);
            return true;
        });
    }

    bool happens(double perSecond)
    {
        return random.unit() < perSecond * double(Step.count()) / 1e6;
    }

    void arrive()
    {
        static constexpr double HotShares[HotModels] = { 0.42, 0.228, 0.187, 0.165 };
        const auto hotModel = [&] {
            double left = random.unit();
            std::size_t index = 0;
            while (index + 1 < HotModels && left >= HotShares[index])
                left -= HotShares[index++];
            return hot[index];
        };
        if (happens(32.0))
            request(hotModel(), 0.1, 400ms, 1'800);
        if (happens(9.5))
            request(hotModel(), 0.5, 2'500ms, 1'100);
        if (happens(4.0))
            request(SometimesHot + int(random.below(ModelCount - SometimesHot)), 0.0, 400ms, 1'800);
    }

    void request(int model, double adapterShare, Duration runTime, int tokens)
    {
        Caller caller;
        caller.model = "m" + std::to_string(model);
        const int adapters = modelNamed(caller.model).adapters;
        if (adapters > 0 && random.unit() < adapterShare)
            caller.adapter = "a" + std::to_string(1 + int(random.below(std::uint64_t(adapters))));
        caller.runTime = runTime;
        caller.tokens = tokens;
        caller.givesUpAt = now + 300ms;
        requests++;
        Asked &asked = copies[copyName(caller.model, caller.adapter)];
        if (asked.requests++ == 0)
            asked.first = now;
        asked.last = now;
        m_demand[{ caller.model, "" }].counted += tokens;
        if (!caller.adapter.empty())
            m_demand[{ caller.model, caller.adapter }].counted += tokens;
        m_waiting.push_back(std::move(caller));
    }

    bool serve(const Caller &caller)
    {
        DayReplica *best = nullptr;
        for (DayReplica &replica : replicas) {
            if (replica.holds(caller.model, caller.adapter)
                && replica.runs.size() < DayReplica::Slots
                && replica.promptsReadAt < now + DayReplica::MaxPromptWait
                && (best == nullptr || replica.promptsReadAt < best->promptsReadAt))
                best = &replica;
        }
        if (best == nullptr)
            return false;
        best->promptsReadAt = std::max(best->promptsReadAt, now)
                + std::chrono::microseconds(std::int64_t(1e3 * caller.tokens
                                                         / DayReplica::PromptTokensPerMs));
        best->runs.push_back(
                { caller.model, caller.adapter, best->promptsReadAt + caller.runTime });
        served++;
        copies[copyName(caller.model, caller.adapter)].served++;
        return true;
    }

    bool isResident(const Caller &caller) const
    {
        return std::any_of(replicas.begin(), replicas.end(), [&](const DayReplica &replica) {
            return replica.holds(caller.model, caller.adapter);
        });
    }

    /// Callers wait for a short while; they are refused then, and return once.
    void serveWaiting()
    {
        std::erase_if(m_waiting, [&](Caller &caller) {
            if (caller.nextWantAt > caller.givesUpAt) { // refused: it is on its way back
                if (now < caller.nextWantAt)
                    return false;
                caller.givesUpAt = now + 300ms;
            }
            if (serve(caller))
                return true;
            if (now >= caller.givesUpAt) {
                if (!std::exchange(caller.mayReturn, false))
                    return true;
                caller.nextWantAt = now + 250ms;
                return false;
            }
            if (now >= caller.nextWantAt && !isResident(caller)) {
                caller.nextWantAt = std::min(now + 250ms, caller.givesUpAt);
                const Duration waited = m_wantAges.onWant(
                        service.name, copyName(caller.model, caller.adapter), now);
                if (m_isHeld) // otherwise it is dropped
                    placement->onCopyRequest(service.name, caller.model, caller.adapter, now,
                                             waited);
            }
            return false;
        });
    }

    void sendDemand()
    {
        if (now < m_demandReportedFrom)
            return; // the nodes do not know the new holder yet
        const double weight = 1.0 - std::exp(-0.5 / 1.2);
        std::vector<CopyDemand> rows;
        for (auto &[copy, row] : m_demand) {
            row.perSecond += weight * (std::exchange(row.counted, 0.0) / 0.5 - row.perSecond);
            rows.push_back({ service.name, copy.first, copy.second, row.perSecond });
        }
        placement->onDemand("node-1", rows, now);
    }

    DayReplica *find(const std::string &id)
    {
        const auto found =
                std::find_if(replicas.begin(), replicas.end(),
                             [&](const DayReplica &replica) { return replica.id == id; });
        return found == replicas.end() ? nullptr : &*found;
    }

    void carryOut()
    {
        for (PlacingAction &action : placement->takeActions()) {
            if (const auto *change = std::get_if<AnnounceCopyChange>(&action)) {
                if (change->change == CopyChange::Usable)
                    m_wantAges.onLoaded(change->copy);
            } else if (const auto *send = std::get_if<SendCommand>(&action)) {
                orders++;
                DayReplica *replica = find(send->command.replica);
                const OrderResult result = replica == nullptr
                        ? OrderResult::Unanswered
                        : replica->order(send->command, modelNamed(send->command.model), now);
                placement->onOrderResult(send->command, result, now);
            } else if (const auto *ask = std::get_if<RequestReport>(&action)) {
                DayReplica *replica = find(ask->replica);
                if (replica != nullptr && replica->isLeaving)
                    placement->onReplicaLeaving(replica->id, 1);
                placement->onReport(ask->replica,
                                    replica == nullptr ? std::optional<EngineReport>()
                                                       : replica->report(),
                                    now);
            }
        }
    }

    std::uint64_t m_term = 0;
    bool m_isHeld = true; // somebody holds the lease
    bool m_storeAway = false;
    WantAges m_wantAges { CopyPlacementSettings {}.adapterWaitLifetime };
    std::vector<std::string> m_gone; // while the store was away
    std::vector<Caller> m_waiting;
    std::map<std::pair<std::string, std::string>, Row> m_demand;
    Instant m_nextBeat;
    Instant m_demandReportedFrom;
    Instant m_nextPlan;
};

} // namespace burdock
