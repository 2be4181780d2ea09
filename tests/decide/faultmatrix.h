// Fault injection for the fault matrices that run on a Fleet (see fleetdriver.h). A fault matrix
// runs schedules with each kind of fault at each step of a protocol and counts those that violate
// an invariant. A step is one kind of message between nodes or of call to the Object API.
//
// Index
//   FaultSpec       one kind of fault at one occurrence of one step; FaultTypes lists the kinds
//   FaultPlan       injects the faults of one schedule into a fleet
//   MatrixCells     counts schedules and violations per cell for the report
#pragma once

#include "decide/fleetdriver.h"
#include "support/faultreport.h"

#include <string>
#include <vector>

namespace burdock::testing {

enum class FaultKind {
    Lost,
    Delayed,
    Duplicated,
    Refused,
    AnswerLost,
    SenderKilled,
    ReceiverKilled,
    SenderSuspended,
    ReceiverSuspended,
    CutOneWay,
    ZoneCut,
    StoreDown,
    ZoneCutFromStore,
    ListLate,
};

/// Describes one kind of fault and the steps at which it can occur.
struct FaultType
{
    FaultKind kind;
    const char *name; // as in the generated fault report
    bool onMessages;  // can occur at messages between nodes
    bool onCalls;     // can occur at calls to the Object API
};

constexpr FaultType FaultTypes[] = {
    { FaultKind::Lost, "lost", true, true },
    { FaultKind::Delayed, "late", true, true },
    { FaultKind::Duplicated, "doubled", true, true },
    { FaultKind::Refused, "refused", false, true },
    { FaultKind::AnswerLost, "answer lost after the effect", false, true },
    { FaultKind::SenderKilled, "sender killed, restarted", true, true },
    { FaultKind::ReceiverKilled, "receiver killed, restarted", true, false },
    { FaultKind::SenderSuspended, "sender frozen, resumed", true, true },
    { FaultKind::ReceiverSuspended, "receiver frozen, resumed", true, false },
    { FaultKind::CutOneWay, "link cut one way", true, false },
    { FaultKind::ZoneCut, "availability zone cut off", true, false },
    { FaultKind::StoreDown, "Object API down", true, true },
    { FaultKind::ZoneCutFromStore, "zone cut off from the Object API", true, false },
    { FaultKind::ListLate, "sender restarted, VM list late", true, false },
};

/// Names one kind of message or call that faults are injected at.
struct ProtocolStep
{
    const char *name; // as in the generated fault report
    bool isCall;      // a call to the Object API; otherwise a message between nodes
};

/// Selects one fault and when it occurs.
struct FaultSpec
{
    const ProtocolStep *step = nullptr;
    const FaultType *fault = nullptr;
    int occurrence = 1; // number of the occurrence of the step after arm() that is hit, from 1
};

/// Injects the faults of one schedule into a fleet. Faults occur only between arm() and disarm().
class FaultPlan
{
public:
    FaultPlan(Fleet &fleet, std::vector<FaultSpec> specs)
        : m_fleet(fleet)
        , m_specs(std::move(specs))
        , m_injected(m_specs.size(), false)
    {
        fleet.fault = [this](const char *step, const std::string &from, const std::string &to) {
            return fateOf(step, from, to);
        };
    }

    void arm() { m_armed = true; }

    /// Ends all effects that still last and injects no further faults: removes network cuts, starts
    /// terminated nodes, resumes suspended ones and removes the delay of the VM list.
    void disarm()
    {
        m_armed = false;
        m_partitions.clear();
        for (auto &[name, node] : m_fleet.nodes) {
            if (!node.isRunning)
                m_fleet.start(node);
            if (node.isSuspended)
                m_fleet.resume(node);
        }
        m_fleet.vmListDelay = {};
    }

    /// @return whether every fault was injected
    bool allInjected() const
    {
        return std::find(m_injected.begin(), m_injected.end(), false) == m_injected.end();
    }

    /// @return step name -> number of its occurrences after arm()
    const std::map<std::string_view, int> &counts() const { return m_counts; }

    /// Called when a fault terminates a process that is not a node of the fleet.
    std::function<void(const std::string &name)> onOperatorKilled = [](const std::string &) {
    };

private:
    // Added delay of a late message or call.
    static constexpr Duration AddedDelay = std::chrono::seconds(3);
    // Time for which a network cut or an outage of the Object API lasts.
    static constexpr Duration PartitionTime = std::chrono::seconds(8);
    // Time from the termination of a node to its restart.
    static constexpr Duration RestartDelay = std::chrono::seconds(4);
    // Time for which a process is suspended.
    static constexpr Duration SuspensionTime = std::chrono::seconds(7);
    // Number of consecutive messages or calls of the step that one fault hits.
    static constexpr int HitsPerFault = 3;

    // A network partition: drops the messages and calls for which separates() returns true.
    struct Partition
    {
        std::function<bool(const std::string &from, const std::string &to)> separates;
        Instant deadline {};
    };

    // Applies the faults that are due to one message or call.
    Delivery fateOf(std::string_view step, const std::string &from, const std::string &to)
    {
        Delivery delivery;
        if (m_armed) {
            const int count = ++m_counts[step];
            for (std::size_t index = 0; index < m_specs.size(); ++index) {
                const FaultSpec &spec = m_specs[index];
                if (step != spec.step->name || count < spec.occurrence)
                    continue;
                if (count < spec.occurrence + HitsPerFault)
                    alterDelivery(delivery, spec.fault->kind);
                if (!m_injected[index])
                    startEffect(spec.fault->kind, from, to);
                m_injected[index] = true;
            }
        }
        for (const Partition &partition : m_partitions) {
            if (m_fleet.now < partition.deadline && partition.separates(from, to))
                delivery.copies = 0;
        }
        return delivery;
    }

    static void alterDelivery(Delivery &delivery, FaultKind kind)
    {
        if (kind == FaultKind::Lost)
            delivery.copies = 0;
        if (kind == FaultKind::Delayed)
            delivery.delay += AddedDelay;
        if (kind == FaultKind::Duplicated)
            delivery.copies *= 2;
        if (kind == FaultKind::Refused)
            delivery.isRefused = true;
        if (kind == FaultKind::AnswerLost)
            delivery.isAnswerLost = true;
    }

    void partition(std::function<bool(const std::string &, const std::string &)> separates)
    {
        m_partitions.push_back({ std::move(separates), m_fleet.now + PartitionTime });
    }

    std::string zoneOf(const std::string &name) const
    {
        const auto node = m_fleet.nodes.find(name);
        return node == m_fleet.nodes.end() ? "" : node->second.zone;
    }

    void startEffect(FaultKind kind, const std::string &from, const std::string &to)
    {
        const std::string zone = zoneOf(from).empty() ? zoneOf(to) : zoneOf(from);
        // Effects on processes start after the current event, as those of a signal would.
        switch (kind) {
        case FaultKind::SenderKilled:
            return scheduleKill(from, {});
        case FaultKind::ReceiverKilled:
            return scheduleKill(to, {});
        case FaultKind::ListLate:
            return scheduleKill(from, std::chrono::seconds(6));
        case FaultKind::SenderSuspended:
            return scheduleSuspension(from);
        case FaultKind::ReceiverSuspended:
            return scheduleSuspension(to);
        case FaultKind::CutOneWay:
            return partition(
                    [from, to](const auto &a, const auto &b) { return a == from && b == to; });
        case FaultKind::ZoneCut:
            return partition([zone, this](const auto &a, const auto &b) {
                return (zoneOf(a) == zone) != (zoneOf(b) == zone);
            });
        case FaultKind::StoreDown:
            return partition(
                    [](const auto &a, const auto &b) { return a == "store" || b == "store"; });
        case FaultKind::ZoneCutFromStore:
            return partition([zone, this](const auto &a, const auto &b) {
                return (a == "store" && zoneOf(b) == zone) || (b == "store" && zoneOf(a) == zone);
            });
        default:
            return;
        }
    }

    void scheduleKill(const std::string &name, Duration vmListDelay)
    {
        if (!m_fleet.nodes.contains(name)) {
            onOperatorKilled(name);
            return;
        }
        m_fleet.after(Duration(1), [name, vmListDelay, this] {
            m_fleet.kill(m_fleet.nodes.at(name));
            m_fleet.after(RestartDelay, [name, vmListDelay, this] {
                if (m_fleet.nodes.at(name).isRunning)
                    return;
                m_fleet.vmListDelay = vmListDelay;
                m_fleet.start(m_fleet.nodes.at(name));
                m_fleet.vmListDelay = {};
            });
        });
    }

    void scheduleSuspension(const std::string &name)
    {
        if (!m_fleet.nodes.contains(name))
            return;
        m_fleet.after(Duration(1), [name, this] {
            m_fleet.suspend(m_fleet.nodes.at(name));
            m_fleet.after(SuspensionTime, [name, this] {
                if (m_fleet.nodes.at(name).isSuspended)
                    m_fleet.resume(m_fleet.nodes.at(name));
            });
        });
    }

    Fleet &m_fleet;
    std::vector<FaultSpec> m_specs;
    std::vector<bool> m_injected;
    std::map<std::string_view, int> m_counts;
    std::vector<Partition> m_partitions;
    bool m_armed = false;
};

/// Counts the schedules and violations of each cell of the matrix.
class MatrixCells
{
public:
    explicit MatrixCells(std::string protocol)
        : m_protocol(std::move(protocol))
    {
    }

    /// Adds one schedule to its cell.
    /// @param injected whether every fault of the schedule was injected
    /// @param violations invariant violations that the checker found
    void add(const std::string &step, const std::string &fault, const std::string &variant,
             bool injected, std::uint64_t violations)
    {
        FaultCell &cell = m_cells[step + '\t' + fault + '\t' + variant];
        cell.protocol = m_protocol;
        cell.step = step;
        cell.fault = fault;
        cell.variant = variant;
        cell.schedules += injected ? 1 : 0;
        cell.violations += violations > 0 ? 1 : 0;
        schedules += injected ? 1 : 0;
        notInjected += injected ? 0 : 1;
        violating += violations > 0 ? 1 : 0;
    }

    /// Appends all cells to the fault report.
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

    std::uint64_t schedules = 0; // schedules in which every fault was injected
    // Schedules in which a fault was not injected, as its step occurred too rarely.
    std::uint64_t notInjected = 0;
    std::uint64_t violating = 0; // schedules with a violation

private:
    std::string m_protocol;
    std::map<std::string, FaultCell> m_cells;
};

} // namespace burdock::testing
