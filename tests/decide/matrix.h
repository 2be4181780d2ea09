// The parts that the fault matrices over a Fleet share: faults as data, their effects, and cells.
//
// Index
//   FaultSpec       one kind of fault at one occurrence of one step
//   FaultPlan       arms faults on a fleet and carries out their effects
//   MatrixCells     counts schedules and violations for the report
#pragma once

#include "decide/fleetdriver.h"
#include "support/faultreport.h"

#include <string>
#include <vector>

namespace burdock::testing {

enum class FaultKind {
    Lost,
    Late,
    Doubled,
    Refused,
    AnswerLost,
    SenderKilled,
    ReceiverKilled,
    SenderFrozen,
    ReceiverFrozen,
    CutOneWay,
    ZoneCut,
    StoreDown,
    ZoneCutFromStore,
    ListLate,
};

struct FaultRow
{
    FaultKind kind;
    const char *name;
    bool onMessages; // strikes at messages between nodes
    bool onCalls;    // strikes at calls to the Object API
};

constexpr FaultRow FaultRows[] = {
    { FaultKind::Lost, "lost", true, true },
    { FaultKind::Late, "late", true, true },
    { FaultKind::Doubled, "doubled", true, true },
    { FaultKind::Refused, "refused", false, true },
    { FaultKind::AnswerLost, "answer lost after the effect", false, true },
    { FaultKind::SenderKilled, "sender killed, restarted", true, true },
    { FaultKind::ReceiverKilled, "receiver killed, restarted", true, false },
    { FaultKind::SenderFrozen, "sender frozen, resumed", true, true },
    { FaultKind::ReceiverFrozen, "receiver frozen, resumed", true, false },
    { FaultKind::CutOneWay, "link cut one way", true, false },
    { FaultKind::ZoneCut, "availability zone cut off", true, false },
    { FaultKind::StoreDown, "Object API down", true, true },
    { FaultKind::ZoneCutFromStore, "zone cut off from the Object API", true, false },
    { FaultKind::ListLate, "sender restarted, VM list late", true, false },
};

struct StepRow
{
    const char *name;
    bool isCall;
};

struct FaultSpec
{
    const StepRow *step = nullptr;
    const FaultRow *fault = nullptr;
    int occurrence = 1; // strikes at this one of the step, counted from arming
};

class FaultPlan
{
public:
    FaultPlan(Fleet &fleet, std::vector<FaultSpec> specs)
        : m_fleet(fleet)
        , m_specs(std::move(specs))
        , m_struck(m_specs.size(), false)
    {
        fleet.fault = [this](const char *step, const std::string &from, const std::string &to) {
            return decide(step, from, to);
        };
    }

    void arm() { m_armed = true; }

    /// Ends everything that still lasts, and strikes no more.
    void disarm()
    {
        m_armed = false;
        m_cuts.clear();
        for (auto &[name, node] : m_fleet.nodes) {
            if (!node.isRunning)
                m_fleet.start(node);
            if (node.isSuspended)
                m_fleet.resume(node);
        }
        m_fleet.vmListDelay = {};
    }

    bool allStruck() const
    {
        return std::find(m_struck.begin(), m_struck.end(), false) == m_struck.end();
    }

    const std::map<std::string_view, int> &counts() const { return m_counts; }

    std::function<void(const std::string &name)> onOperatorKilled = [](const std::string &) {
    };

private:
    static constexpr Duration Lateness = std::chrono::seconds(3);
    static constexpr Duration Outage = std::chrono::seconds(8);
    static constexpr Duration DownTime = std::chrono::seconds(4);
    static constexpr Duration FrozenTime = std::chrono::seconds(7);
    static constexpr int Burst = 3; // messages or calls hit in a row

    struct Cut
    {
        std::function<bool(const std::string &from, const std::string &to)> hits;
        Instant deadline {};
    };

    Delivery decide(std::string_view step, const std::string &from, const std::string &to)
    {
        Delivery delivery;
        if (m_armed) {
            const int count = ++m_counts[step];
            for (std::size_t index = 0; index < m_specs.size(); ++index) {
                const FaultSpec &spec = m_specs[index];
                if (step != spec.step->name || count < spec.occurrence)
                    continue;
                if (count < spec.occurrence + Burst)
                    shape(delivery, spec.fault->kind);
                if (!m_struck[index])
                    strike(spec.fault->kind, from, to);
                m_struck[index] = true;
            }
        }
        for (const Cut &cut : m_cuts) {
            if (m_fleet.now < cut.deadline && cut.hits(from, to))
                delivery.copies = 0;
        }
        return delivery;
    }

    static void shape(Delivery &delivery, FaultKind kind)
    {
        if (kind == FaultKind::Lost)
            delivery.copies = 0;
        if (kind == FaultKind::Late)
            delivery.delay += Lateness;
        if (kind == FaultKind::Doubled)
            delivery.copies *= 2;
        if (kind == FaultKind::Refused)
            delivery.isRefused = true;
        if (kind == FaultKind::AnswerLost)
            delivery.isAnswerLost = true;
    }

    void cut(std::function<bool(const std::string &, const std::string &)> hits)
    {
        m_cuts.push_back({ std::move(hits), m_fleet.now + Outage });
    }

    std::string zoneOf(const std::string &name) const
    {
        const auto node = m_fleet.nodes.find(name);
        return node == m_fleet.nodes.end() ? "" : node->second.zone;
    }

    void strike(FaultKind kind, const std::string &from, const std::string &to)
    {
        const std::string zone = zoneOf(from).empty() ? zoneOf(to) : zoneOf(from);
        // Effects on processes start after the event under way, as a signal would.
        switch (kind) {
        case FaultKind::SenderKilled:
            return killLater(from, {});
        case FaultKind::ReceiverKilled:
            return killLater(to, {});
        case FaultKind::ListLate:
            return killLater(from, std::chrono::seconds(6));
        case FaultKind::SenderFrozen:
            return freezeLater(from);
        case FaultKind::ReceiverFrozen:
            return freezeLater(to);
        case FaultKind::CutOneWay:
            return cut([from, to](const auto &a, const auto &b) { return a == from && b == to; });
        case FaultKind::ZoneCut:
            return cut([zone, this](const auto &a, const auto &b) {
                return (zoneOf(a) == zone) != (zoneOf(b) == zone);
            });
        case FaultKind::StoreDown:
            return cut([](const auto &a, const auto &b) { return a == "store" || b == "store"; });
        case FaultKind::ZoneCutFromStore:
            return cut([zone, this](const auto &a, const auto &b) {
                return (a == "store" && zoneOf(b) == zone) || (b == "store" && zoneOf(a) == zone);
            });
        default:
            return;
        }
    }

    void killLater(const std::string &name, Duration vmListDelay)
    {
        if (!m_fleet.nodes.contains(name)) {
            onOperatorKilled(name);
            return;
        }
        m_fleet.after(Duration(1), [name, vmListDelay, this] {
            m_fleet.kill(m_fleet.nodes.at(name));
            m_fleet.after(DownTime, [name, vmListDelay, this] {
                if (m_fleet.nodes.at(name).isRunning)
                    return;
                m_fleet.vmListDelay = vmListDelay;
                m_fleet.start(m_fleet.nodes.at(name));
                m_fleet.vmListDelay = {};
            });
        });
    }

    void freezeLater(const std::string &name)
    {
        if (!m_fleet.nodes.contains(name))
            return;
        m_fleet.after(Duration(1), [name, this] {
            m_fleet.suspend(m_fleet.nodes.at(name));
            m_fleet.after(FrozenTime, [name, this] {
                if (m_fleet.nodes.at(name).isSuspended)
                    m_fleet.resume(m_fleet.nodes.at(name));
            });
        });
    }

    Fleet &m_fleet;
    std::vector<FaultSpec> m_specs;
    std::vector<bool> m_struck;
    std::map<std::string_view, int> m_counts;
    std::vector<Cut> m_cuts;
    bool m_armed = false;
};

class MatrixCells
{
public:
    explicit MatrixCells(std::string protocol)
        : m_protocol(std::move(protocol))
    {
    }

    void add(const std::string &step, const std::string &fault, const std::string &variant,
             bool struck, std::uint64_t violations)
    {
        FaultCell &cell = m_cells[step + '\t' + fault + '\t' + variant];
        cell.protocol = m_protocol;
        cell.step = step;
        cell.fault = fault;
        cell.variant = variant;
        cell.schedules += struck ? 1 : 0;
        cell.violations += violations > 0 ? 1 : 0;
        schedules += struck ? 1 : 0;
        notStruck += struck ? 0 : 1;
        bad += violations > 0 ? 1 : 0;
    }

    void report()
    {
        std::vector<FaultCell> cells;
        for (auto &[key, cell] : m_cells) {
            if (cell.schedules == 0)
                cell.notCovered = "the step did not occur";
            cells.push_back(cell);
        }
        reportCells(cells);
    }

    std::uint64_t schedules = 0; // in which every fault struck
    std::uint64_t notStruck = 0; // run, but a fault found no occasion
    std::uint64_t bad = 0;       // with a violation

private:
    std::string m_protocol;
    std::map<std::string, FaultCell> m_cells;
};

} // namespace burdock::testing
