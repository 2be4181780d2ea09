// The checker of PlacementSimulation. It observes engines, messages and clocks, not the tables of
// placement. Included by placementsimulation.h.
#pragma once

#include "support/placementsimulation.h"

namespace burdock::testing {

/// @param version model version; empty for any version
/// @return the number of ready copies on all engines
inline int PlacementSimulation::readyCopies(const std::string &model,
                                            const std::string &version) const
{
    int count = 0;
    for (const auto &[name, engine] : m_engines) {
        for (const auto &[key, copy] : engine.copies) {
            const bool matches = key.first == model && (version.empty() || key.second == version);
            count += matches && engine.isReady(key, m_now) ? 1 : 0;
        }
    }
    return count;
}

// An unload must not remove the last ready copy of a model that is published as far as the sender
// knows. It is excused when a crash removed another copy and the sender could not know of it yet.
inline void PlacementSimulation::checkUnload(const EngineOrder &order, Instant sentAt,
                                             std::uint64_t catalogRevision)
{
    const FakeEngine &engine = m_engines[order.engine];
    const bool accepted =
            engine.up && (!engine.checks || order.number >= engine.state.highestNumber);
    if (!accepted || !engine.isReady({ order.model, order.version }, m_now)
        || readyCopies(order.model, "") > 1)
        return;
    const auto &service = m_catalogs[catalogRevision - 1].services.at("models");
    if (findModel(service, order.model) == nullptr)
        return;
    const auto loss = m_lastCrashLossAt.find(order.model);
    const bool excused =
            loss != m_lastCrashLossAt.end() && loss->second >= sentAt - MaxReportAge - 1'500ms;
    ++(excused ? m_checks.excused : m_checks.lastCopyRemoved);
    if (!excused)
        trace("LAST COPY", order.engine, order.model, order.version);
}

// Checks that every sequence of loads sent by one process fits a token bucket that holds the loads
// of one second. Processes that were suspended are not checked.
inline void PlacementSimulation::checkRate(Node &node)
{
    if (node.wasSuspended || node.loadsSent.empty())
        return;
    const Instant last = node.loadsSent.back();
    for (std::size_t index = 0; index < node.loadsSent.size(); ++index) {
        const double span = std::chrono::duration<double>(last - node.loadsSent[index]).count();
        const auto sent = static_cast<double>(node.loadsSent.size() - index);
        if (sent > LoadsPerSecond + LoadsPerSecond * span + 1e-6) {
            ++m_checks.loadRateExceeded;
            trace("RATE", node.name);
            return;
        }
    }
}

inline void PlacementSimulation::checkNow()
{
    int loading = 0;
    for (auto &[name, engine] : m_engines) {
        if (engine.up)
            loading += engine.loading(m_now);
        if (engine.usedMb() > engine.state.memoryMb) {
            ++m_checks.memoryExceeded;
            trace("MEMORY", name, engine.usedMb());
        }
    }
    if (loading > LoadsAtOnce) {
        ++m_checks.concurrentLoadsExceeded;
        trace("LOADING", loading);
    }
    int active = 0;
    for (const auto &node : m_nodes)
        active += node->alive && m_now >= node->suspendedUntil && node->onResume.empty()
                        && node->placement->isActive(m_now)
                ? 1
                : 0;
    m_checks.multipleActive += active > 1 ? 1 : 0;
}

// Whether an engine has that much memory free besides what stored orders may still load on it.
inline bool PlacementSimulation::hasFreeMemoryFor(std::int64_t memoryMb) const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [&](const auto &row) {
        const FakeEngine &engine = row.second;
        std::int64_t freeMb = engine.state.memoryMb - engine.usedMb();
        for (const EngineOrder &order : m_journal.orders) {
            const bool open = order.engine == row.first && order.kind == EngineOrderKind::Load
                    && engine.copies.count({ order.model, order.version }) == 0;
            freeMb -= open ? order.memoryMb : 0;
        }
        return engine.up && engine.listed && freeMb >= memoryMb;
    });
}

// Called long after the last fault: every model must be reachable, and its version in force must be
// ready unless the engines cannot reuse memory.
inline void PlacementSimulation::checkEnd()
{
    const bool reusesMemory = m_options.mix == EngineMix::Checked
            || m_options.unfencedPolicy == UnfencedEnginePolicy::UnloadAfterSeen;
    for (const ModelEntry &model : models(m_catalogs.back())) {
        const bool reachable = readyCopies(model.name, "") > 0;
        const bool versionReady = readyCopies(model.name, model.version) > 0;
        const bool hasMemory = reusesMemory || hasFreeMemoryFor(model.memoryMb);
        m_checks.modelUnreachable += !reachable && hasMemory ? 1 : 0;
        m_checks.outOfMemory += !reachable && !hasMemory ? 1 : 0;
        m_checks.versionNotReady += reachable && !versionReady && reusesMemory ? 1 : 0;
        if (!reachable || !versionReady)
            trace("END", model.name, model.version, reachable ? "old version" : "not reachable");
    }
}

} // namespace burdock::testing
