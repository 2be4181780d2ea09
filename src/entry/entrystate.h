// What one entry process knows and does, as plain members that its parts share.
#pragma once

#include "decide/dispatcher.h"
#include "decide/prefixindex.h"
#include "decide/router.h"
#include "decide/servicecatalog.h"
#include "decide/upstreamtable.h"
#include "entry/requestboard.h"
#include "entry/upstreamfeed.h"
#include "net/decisionlog.h"
#include "net/httpclient.h"
#include "net/metrics.h"
#include "platform/objectclient.h"
#include "settings/nodesettings.h"

#include <boost/asio/io_context.hpp>

#include <vector>

namespace burdock {

struct EntryState
{
    EntryState(boost::asio::io_context &context, NodeSettings nodeSettings);

    boost::asio::io_context &io;
    NodeSettings settings;
    HttpClient http;
    ObjectClient objects;
    DecisionLog log;
    Metrics metrics;

    ServiceCatalog catalog;   // the configuration in force here
    std::vector<VmEntry> vms; // the last VM list
    UpstreamTable upstreams;  // every upstream this node routes to
    PrefixIndex prefixes;     // who is believed to hold which prompt prefix
    CostRouter router;        // chooses the upstream
    Dispatcher dispatcher;    // queues, retries, refusals
    RequestBoard board;       // waiting callers
    UpstreamFeed feed;        // keeps the upstream table up to date
    bool draining = false;    // new requests are refused
};

} // namespace burdock
