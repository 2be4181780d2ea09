#include "entry/statuspages.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

json::value upstreamStatus(const EntryState &state, const UpstreamRow &row)
{
    json::array models;
    for (const ResidentModel &model : row.info.resident)
        models.push_back(json::string(servingKey(model.model, model.version)));
    return { { "name", row.info.name },
             { "group", row.info.group },
             { "availability_zone", row.info.zone },
             { "state", upstreamStateName(row.state) },
             { "resident", std::move(models) },
             { "own_in_flight", row.ownInFlight },
             { "estimated_load", state.upstreams.estimatedLoad(row, steadyNow()) } };
}

json::array ledgerStatus(const EntryState &state)
{
    json::array shards;
    for (const LedgerShardRow &row : state.orders.ledger().shardRows()) {
        shards.push_back({ { "shard", row.shard },
                           { "phase", row.phase },
                           { "preferred_owner", row.preferredOwner },
                           { "records", row.records },
                           { "open_grants", row.openGrants },
                           { "queued", row.queued },
                           { "commits", row.commits },
                           { "takeovers", row.takeovers },
                           { "read_backs", row.readBacks },
                           { "refused", row.refused } });
    }
    return shards;
}

json::array memberStatus(const EntryState &state)
{
    json::array members;
    for (const auto &[name, row] : state.fleet.membership().members()) {
        members.push_back({ { "name", name },
                            { "availability_zone", row.zone },
                            { "state", memberStateName(row.state) },
                            { "incarnation", row.incarnation },
                            { "config_revision", row.configRevision } });
    }
    return members;
}

json::value entryStatus(const EntryState &state)
{
    json::array upstreams;
    for (const auto &[name, row] : state.upstreams.rows())
        upstreams.push_back(upstreamStatus(state, row));
    json::array services;
    for (const auto &[name, service] : state.catalog.services)
        services.push_back(json::string(name));
    return { { "node", state.settings.name },
             { "availability_zone", state.settings.availabilityZone },
             { "config_revision", state.catalog.revision },
             { "publish_id", state.catalog.publishId },
             { "drain_phase", drainPhaseName(state.drain.phase()) },
             { "requests_in_progress", state.drain.inProgress() },
             { "suspects", state.quarantine.quarantine().suspects().size() },
             { "services", std::move(services) },
             { "queued", state.dispatcher.admission().queued() },
             { "active", state.dispatcher.active().size() },
             { "retry_tokens", state.dispatcher.retryBudget().tokens() },
             { "platform_calls", state.objects.calls() },
             { "peer_bytes_sent", state.link.bytesSent() },
             { "peer_bytes_received", state.link.bytesReceived() },
             { "members", memberStatus(state) },
             { "ledger", ledgerStatus(state) },
             { "upstreams", std::move(upstreams) } };
}

} // namespace

StatusPages::StatusPages(EntryState &state, std::function<void()> drain)
    : m_state(state)
    , m_drain(std::move(drain))
{
}

StatusPage StatusPages::page(const HttpRequest &request)
{
    if (auto common = commonPage(request, m_state.metrics, m_state.log))
        return std::move(*common);
    const std::string path = pathOf(request);
    if (path == "/ready") {
        const bool informed = m_state.catalog.revision > 0 && !m_state.vms.empty();
        return readyPage(informed && m_state.drain.phase() == DrainPhase::Running);
    }
    if (path == "/status")
        return jsonPage(json::serialize(entryStatus(m_state)));
    if (path == "/drain" && request.method == "POST") {
        m_drain();
        StatusPage accepted;
        accepted.status = 202;
        accepted.body = "draining\n";
        return accepted;
    }
    return missingPage();
}

asio::awaitable<void> StatusPages::handle(const HttpRequest &request, HttpReply &reply)
{
    co_await sendPage(reply, page(request));
}

} // namespace burdock
