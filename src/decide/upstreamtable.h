// The upstreams one node knows: where they are, what they hold and how loaded they are.
//
// Index
//   ResidentModel, LoadReport, UpstreamInfo   what arrives about an upstream
//   UpstreamState, UpstreamRow                what the table keeps
//   servingKey                                the text that requests and upstreams meet under
//   UpstreamTable                             the rows, with an index by serving key
//
// A load report is old when it arrives. The table adds to it what this node itself has sent and
// seen finished since the moment the report speaks of:
//
//   table.onLoadReport(report, now);          // 12 running, as of 400 ms ago
//   table.onSent("engine-3", false, now);     // one more from here
//   table.estimatedLoad(row, now);            // 13
#pragma once

#include "base/instant.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace burdock {

// ---- What arrives -------------------------------------------------------------------------------

struct ResidentModel
{
    std::string model;                 // name of the model
    std::string version;               // its version
    std::vector<std::string> adapters; // adapters already loaded onto it
};

struct LoadReport
{
    std::string upstream;       // who reports
    std::uint64_t sequence = 0; // grows with each report of one incarnation
    Duration age {};            // how old the reading was when it arrived
    int running = 0;            // requests being served
    int waiting = 0;            // requests queued inside the upstream
    int slots = 0;              // requests it serves at once; 0 is "not said"
};

struct UpstreamInfo
{
    std::string name;                    // unique among all upstreams
    std::string address;                 // "IP:port"
    std::string group;                   // group name in the VM list
    std::string zone;                    // its availability zone
    std::uint64_t incarnation = 0;       // changes when its process restarts
    std::vector<ResidentModel> resident; // empty for plain services
    int slots = 0;                       // requests it serves at once; 0 is "not said"
};

// ---- Rows ---------------------------------------------------------------------------------------

enum class UpstreamState {
    Reachable,   // may be chosen
    Leaving,     // gets nothing new
    Unreachable, // failed to connect; gets nothing until probeAt
    Probing,     // one request has been let through to see whether it is back
};

/// @return "reachable", "leaving", "unreachable" or "probing"
std::string upstreamStateName(UpstreamState state);

/// A request sent from here (+1) or finished (-1) at a moment.
struct LoadChange
{
    Instant at;     // when it happened
    int change = 0; // +1 or -1
};

struct UpstreamRow
{
    UpstreamInfo info;                              // as last announced
    std::uint32_t number = 0;                       // never reused; stands for the name in indexes
    UpstreamState state = UpstreamState::Reachable; // whether it may be chosen
    bool leaving = false;                           // it stays so for this incarnation
    Instant probeAt;                                // Unreachable: when one request may try again
    int connectFailures = 0;                        // in a row
    bool reported = false;                          // a load report has arrived
    LoadReport report;                              // the newest one
    Instant reportAsOf;                             // the moment the newest report speaks of
    int ownInFlight = 0;                            // sent from here and not finished
    int ownAdapterLoads = 0;                        // of these, still waiting for an adapter
    std::vector<LoadChange> changes;                // own sends and finishes, oldest first
};

/// @return the key that requests for a version of a model are routed under
std::string servingKey(const std::string &model, const std::string &version);

// ---- Table --------------------------------------------------------------------------------------

struct UpstreamTableSettings
{
    Duration reportUsable = std::chrono::seconds(5);          // older reports are not used
    Duration probeDelay = std::chrono::milliseconds(250);     // after the first failed connect
    Duration probeDelayMax = std::chrono::milliseconds(8000); // it doubles up to this
    int defaultSlots = 64;                                    // for upstreams that do not say
};

class UpstreamTable
{
public:
    explicit UpstreamTable(UpstreamTableSettings settings = {});

    /// Adds an upstream, or updates what it announced. A new incarnation starts with clean counts.
    void onAnnounced(const UpstreamInfo &info, Instant now);

    /// Marks an upstream that is to stop: it gets nothing new until its next incarnation.
    void onLeaving(const std::string &name);

    /// Forgets an upstream that is gone from the VM list.
    void onGone(const std::string &name);

    /// Takes a load report. One with an older sequence number than the last is dropped.
    void onLoadReport(const LoadReport &report, Instant now);

    /// Counts a request sent from this node.
    /// @param loadsAdapter whether the upstream has to load an adapter for it first
    void onSent(const std::string &name, bool loadsAdapter, Instant now);

    /// Counts the end of an adapter load that onSent() counted.
    /// @param adapter its name; it counts as resident from now on. Empty when the load failed.
    void onAdapterLoaded(const std::string &name, const std::string &key,
                         const std::string &adapter);

    /// Counts a request that ended, however it ended.
    void onFinished(const std::string &name, Instant now);

    /// An upstream did not accept a connection: it gets nothing until its probe is due.
    void onConnectFailed(const std::string &name, Instant now);

    /// An upstream accepted a connection or answered.
    void onConnected(const std::string &name);

    /// @return whether a new request may go to this upstream now
    bool selectable(const UpstreamRow &row, Instant now) const;

    /// @return requests at the upstream: the last report corrected by what happened here since
    int estimatedLoad(const UpstreamRow &row, Instant now) const;

    /// @return requests the upstream serves at once
    int slots(const UpstreamRow &row) const;

    /// @return whether the adapter is loaded onto the model of that key; true for an empty adapter
    bool hasAdapter(const UpstreamRow &row, const std::string &key,
                    const std::string &adapter) const;

    /// @return adapter loads that this node waits for, at all upstreams together
    int ownAdapterLoads() const { return m_ownAdapterLoads; }

    /// @return upstreams that hold the key (a serving key, or a group for plain services), in the
    /// order of their names. Valid until the next onAnnounced() or onGone().
    const std::vector<const UpstreamRow *> &holders(const std::string &key) const;

    /// @return the row of that name, or null
    const UpstreamRow *find(const std::string &name) const;

    /// @return the row of that number, or null
    const UpstreamRow *findNumber(std::uint32_t number) const;

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
