// One node's table of upstreams: their addresses, resident models, reachability and load.
//
// Index
//   ResidentModel, LoadReport, UpstreamInfo   announcements and load reports of an upstream
//   UpstreamState, LoadChange, UpstreamRow    the row that the table keeps for an upstream
//   servingKey                                routing key of a version of a model
//   UpstreamTable                             the rows, with an index by routing key
//
// Terms
//   upstream      a process that serves requests: a model engine or a replica of a plain service
//   incarnation   one run of an upstream's process; a restart begins a new one
//   key           what requests are routed by: the serving key "model@version" of a model, or the
//                 group name of a plain service. A holder of a key can serve its requests.
//
// A load report is already old when it arrives. The table corrects it by the requests that this
// node has sent and seen finished since the report was measured:
//
//   table.onLoadReport(report, now);          // 12 requests running, measured 400 ms ago
//   table.onSent("engine-3", false, now);     // this node sends one more request
//   table.estimatedLoad(row, now);            // 13
//
// After a failed connect an upstream receives no requests until its probe is due. Then one
// request, the probe, may go to it; the interval doubles with each further failure.
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- Announcements and load reports -------------------------------------------------------------

struct ResidentModel
{
    std::string model;                 // model name
    std::string version;               // model version
    std::vector<std::string> adapters; // adapters loaded onto this copy
};

struct LoadReport
{
    std::string upstream;       // name of the reporting upstream
    std::uint64_t sequence = 0; // grows with each report of an incarnation
    Duration age {};            // time from the measurement to the arrival of the report
    int running = 0;            // requests that the upstream is serving
    int waiting = 0;            // requests that are queued inside the upstream
    int slots = 0;              // requests it can serve concurrently; 0 if not reported
};

struct UpstreamInfo
{
    std::string name;                    // unique among all upstreams
    std::string address;                 // "IP:port"
    std::string group;                   // group name in the VM list
    std::string zone;                    // availability zone
    std::uint64_t incarnation = 0;       // changes when the upstream's process restarts
    std::vector<ResidentModel> resident; // models in its memory; empty for plain services
    int slots = 0;                       // requests it can serve concurrently; 0 if not announced
};

// ---- Rows ---------------------------------------------------------------------------------------

enum class UpstreamState {
    Reachable,   // may receive requests
    Leaving,     // about to stop; receives no new requests
    Unreachable, // the last connect failed; receives no requests until probeAt
    Probing,     // a request was sent as a probe and its result is not known yet
};

/// @return "reachable", "leaving", "unreachable" or "probing"
std::string upstreamStateName(UpstreamState state);

/// A change of the load that this node causes at an upstream.
struct LoadChange
{
    Instant at;     // time of the change
    int change = 0; // +1 for a request sent, -1 for one that ended
};

struct UpstreamRow
{
    UpstreamInfo info;        // newest announcement
    std::uint32_t number = 0; // row number, new for each incarnation, never reused
    UpstreamState state = UpstreamState::Reachable; // reachability
    bool leaving = false;                           // stays set until the next incarnation
    Instant probeAt;                                // Unreachable: when a probe may be sent
    int connectFailures = 0;                        // consecutive failed connects
    bool hasReport = false;                         // whether a load report has arrived
    LoadReport report;                              // newest load report
    Instant reportMeasuredAt;                       // when the newest report was measured
    int ownInFlight = 0;                            // requests of this node that have not ended
    int ownAdapterLoads = 0;                        // those of them that wait for an adapter load
    std::vector<LoadChange> changes; // sends and ends since the newest report, oldest first
};

/// @return the routing key of a version of a model: "model@version"
std::string servingKey(const std::string &model, const std::string &version);

// ---- Table --------------------------------------------------------------------------------------

struct UpstreamTableSettings
{
    Duration maxReportAge = std::chrono::seconds(5);          // older load reports are ignored
    Duration probeDelay = std::chrono::milliseconds(250);     // after the first failed connect
    Duration probeDelayMax = std::chrono::milliseconds(8000); // maximum of the doubled probe delay
    int defaultSlots = 64; // slots of an upstream that neither announces nor reports them
};

class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings = {});

    /// Adds an upstream or updates its announcement. A new incarnation gets a new row: its counts
    /// start at 0, and it counts as reachable.
    void onAnnounced(const UpstreamInfo &info, Instant now);

    /// Marks an upstream that is about to stop: it receives no new requests until it is announced
    /// with a new incarnation.
    void onLeaving(const std::string &name);

    /// Removes an upstream, e.g. because it is no longer in the VM list.
    void onRemoved(const std::string &name);

    /// Stores a load report. Drops it when its sequence number is not above that of the stored one.
    void onLoadReport(const LoadReport &report, Instant now);

    /// Counts a request that this node sends.
    /// @param loadsAdapter whether the upstream has to load an adapter before it can run the
    /// request
    void onSent(const std::string &name, bool loadsAdapter, Instant now);

    /// Counts the end of an adapter load that onSent() counted. Call it once for each of them.
    /// @param key serving key of the model that the adapter belongs to
    /// @param adapter name of the adapter, which is resident from now on; empty if the load failed
    void onAdapterLoaded(const std::string &name, const std::string &key,
                         const std::string &adapter);

    /// Counts the end of a request that onSent() counted, whether it succeeded or not.
    void onFinished(const std::string &name, Instant now);

    /// Marks an upstream that did not accept a connection: it receives no requests until its probe
    /// is due.
    void onConnectFailed(const std::string &name, Instant now);

    /// Marks an upstream reachable because it accepted a connection or responded.
    void onConnected(const std::string &name);

    /// @return whether a new request, possibly as a probe, may be sent to this upstream now
    bool isSelectable(const UpstreamRow &row, Instant now) const;

    /// @return estimated number of requests at the upstream: the newest load report corrected by
    /// what this node has sent and seen end since; this node's own requests when the report is
    /// missing or older than maxReportAge
    int estimatedLoad(const UpstreamRow &row, Instant now) const;

    /// @return requests that the upstream can serve concurrently
    int slots(const UpstreamRow &row) const;

    /// @return whether the adapter is loaded onto the model of that serving key; true for an empty
    /// adapter name
    bool hasAdapter(const UpstreamRow &row, const std::string &key,
                    const std::string &adapter) const;

    /// @return number of adapter loads that requests of this node wait for, at all upstreams
    int ownAdapterLoads() const { return m_ownAdapterLoads; }

    /// @return the upstreams that hold the key, whatever their state, in the order of their names.
    /// The reference is valid until the next onAnnounced() or onRemoved().
    const std::vector<const UpstreamRow *> &holders(const std::string &key) const;

    /// @return the row of the upstream of that name, or null
    const UpstreamRow *find(const std::string &name) const;

    /// @return the row of that number, or null when it was removed or replaced
    const UpstreamRow *findByNumber(std::uint32_t number) const;

    /// @return whether the upstream holds the key
    bool holdsKey(const UpstreamRow &row, const std::string &key) const;

    const std::map<std::string, UpstreamRow> &rows() const { return m_rows; }

private:
    UpstreamRow *findRow(const std::string &name);
    void addToIndex(const UpstreamRow &row);
    void removeFromIndex(const UpstreamRow &row);
    void endAdapterLoads(UpstreamRow &row, int count);
    static void dropChangesUntil(UpstreamRow &row, Instant last);
    void recordChange(UpstreamRow &row, int change, Instant now) const;

    UpstreamTableSettings m_settings;
    std::map<std::string, UpstreamRow> m_rows;
    std::map<std::string, std::vector<const UpstreamRow *>> m_holders;
    std::map<std::uint32_t, const UpstreamRow *> m_byNumber;
    std::uint32_t m_nextNumber = 1;
    int m_ownAdapterLoads = 0;
};

} // namespace burdock
