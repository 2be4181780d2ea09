// What one entry process knows and does, as plain members that its parts share.
#pragma once

#include "decide/addressanswer.h"
#include "decide/dispatcher.h"
#include "decide/drain.h"
#include "decide/prefixindex.h"
#include "decide/router.h"
#include "decide/servicecatalog.h"
#include "decide/upstreamtable.h"
#include "entry/demandmeter.h"
#include "entry/requestboard.h"
#include "entry/upstreamfeed.h"
#include "net/decisionlog.h"
#include "net/httpclient.h"
#include "net/metrics.h"
#include "node/fleetshell.h"
#include "node/ordershell.h"
#include "node/quarantineshell.h"
#include "peer/peerlink.h"
#include "platform/objectclient.h"
#include "settings/nodesettings.h"
#include "suspects/suspectshell.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <vector>

namespace burdock {

namespace wire {
class ViewRequest;
}

struct EntryState : public PeerHandler, public FleetListener, private SuspectFleet
{
    EntryState(boost::asio::io_context &context, NodeSettings nodeSettings);

    void onPeerMessage(const wire::PeerMessage &message) override;
    void onConfiguration(const ApplyConfig &config) override;
    void onLiveNodes() override;
    void onNote(const GossipRecord &note) override;

    /// Where requests of this node's control process go.
    std::function<void(const wire::ViewRequest &)> onViewRequest;

    /// Takes a reading of the VM list.
    void onVmList(std::vector<VmEntry> listed);

    /// An upstream said that it does not hold a copy: nothing is sent there for it until the
    /// upstream's next report shows it again.
    void forgetCopy(const std::string &upstream, const std::string &key);

    /// @return a name for the process that now runs as an upstream
    std::string upstreamProcess(const std::string &upstream) const;

    /// Chooses anew which addresses callers are told.
    void rebuildAddresses();

    boost::asio::io_context &io;
    NodeSettings settings;
    HttpClient http;
    BodyMemory answerMemory; // of whole answers, until their callers have taken them
    ObjectClient objects;
    DecisionLog log;
    std::uint64_t incarnation; // of this process
    Metrics metrics;

    ServiceCatalog catalog;     // the configuration in force here
    std::vector<VmEntry> vms;   // the last VM list
    UpstreamTable upstreams;    // every upstream this node routes to
    PrefixIndex prefixes;       // who is believed to hold which prompt prefix
    CostRouter router;          // chooses the upstream
    Dispatcher dispatcher;      // queues, retries, refusals
    RequestBoard board;         // waiting callers
    PeerLink link;              // to the other nodes and to this node's control process
    FleetShell fleet;           // who runs, and which configuration is in force
    OrderShell orders;          // the at-most-once ledger
    QuarantineShell quarantine; // requests that crash their upstreams
    SuspectShell suspects;      // parts of prompts that do
    DemandMeter demand;         // what callers ask of each model
    UpstreamFeed feed;          // keeps the upstream table up to date
    LeavingUpstreams leaving;   // upstreams that get no new work
    AddressDirectory addresses; // which entry addresses callers are told
    NodeDrain drain;            // the planned stop of this node

private:
    bool isOwner(std::uint64_t key, Instant now) const override;
    void sendSuspectNotes(const std::vector<SuspectNote> &notes, bool toAll) override;
    void onRefusalsChanged() override { } // attempts ask before each send
    void logVerdict(const RunVerdict &verdict) override;
    void logSuspect(const SuspectNote &note, bool isRefused, const char *source) override;
    void updateUpstreams();

    Instant m_repeatSuspectsAt; // to all nodes, for those that have started or missed some
};

} // namespace burdock
