// Keeps the upstream table up to date: VM list, engines' states, load reports, cache events.
#pragma once

#include "decide/prefixindex.h"
#include "decide/upstreamtable.h"
#include "net/httpclient.h"
#include "platform/objectclient.h"

#include <boost/asio/awaitable.hpp>

#include <map>
#include <set>
#include <string>
#include <vector>

namespace burdock {

class UpstreamFeed
{
public:
    UpstreamFeed(HttpClient &http, UpstreamTable &table, PrefixIndex &prefixes);

    /// Takes a VM list.
    /// @param vms every VM, upstreams and entry VMs alike
    /// @param modelGroups upstream groups that are model engines
    void onVmList(const std::vector<VmEntry> &vms, const std::set<std::string> &modelGroups);

    /// Asks every engine for its state, load and cache events, all at once.
    boost::asio::awaitable<void> pollEngines();

    /// @return the upstreams of the last VM list, by name
    const std::map<std::string, VmEntry> &upstreams() const { return m_upstreams; }

private:
    boost::asio::awaitable<void> pollEngine(VmEntry vm);
    boost::asio::awaitable<void> pollState(const VmEntry &vm);
    boost::asio::awaitable<void> pollLoad(const VmEntry &vm);
    boost::asio::awaitable<void> pollCacheEvents(const VmEntry &vm);

    HttpClient &m_http;
    UpstreamTable &m_table;
    PrefixIndex &m_prefixes;
    std::map<std::string, VmEntry> m_upstreams;
    std::set<std::string> m_modelGroups;
    std::set<std::string> m_polling;                    // engines whose answer is awaited
    std::map<std::string, std::uint64_t> m_loadReports; // reports taken of each engine
    std::map<std::string, std::uint64_t> m_lastEvents;  // last cache event of each engine
};

} // namespace burdock
