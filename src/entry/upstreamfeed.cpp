#include "entry/upstreamfeed.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

constexpr std::chrono::milliseconds PollTimeout { 1'000 };
constexpr std::string_view EntryGroup = "entry";

/// @return the answer's JSON object, or nothing when the call failed
std::optional<json::object> objectOf(const CallResult<HttpResponse> &answer)
{
    const auto *response = std::get_if<HttpResponse>(&answer);
    if (response == nullptr || response->head.status != 200)
        return std::nullopt;
    boost::system::error_code failure;
    const json::value value = json::parse(response->body, failure);
    if (failure || !value.is_object())
        return std::nullopt;
    return value.as_object();
}

/// Asks an engine for one of its reports.
/// @return the report, or nothing when it did not come
asio::awaitable<std::optional<json::object>> askEngine(HttpClient &http, Endpoint engine,
                                                       std::string target)
{
    HttpRequest request;
    request.target = std::move(target);
    const auto answer = co_await http.call(engine, request, steadyNow() + PollTimeout);
    co_return objectOf(answer);
}

std::vector<ResidentModel> readyModels(const json::object &state)
{
    std::vector<std::string> adapters;
    for (const json::value &adapter : state.at("adapters").as_array())
        adapters.emplace_back(adapter.as_string());
    std::vector<ResidentModel> models;
    for (const json::value &item : state.at("resident").as_array()) {
        if (!item.at("ready").as_bool())
            continue;
        models.push_back({ std::string(item.at("model").as_string()),
                           std::string(item.at("version").as_string()), adapters });
    }
    return models;
}

} // namespace

UpstreamFeed::UpstreamFeed(HttpClient &http, UpstreamTable &table, PrefixIndex &prefixes)
    : m_http(http)
    , m_table(table)
    , m_prefixes(prefixes)
{
}

void UpstreamFeed::onVmList(const std::vector<VmEntry> &vms,
                            const std::set<std::string> &modelGroups)
{
    m_modelGroups = modelGroups;
    std::map<std::string, VmEntry> listed;
    for (const VmEntry &vm : vms) {
        if (vm.group != EntryGroup)
            listed[vm.name] = vm;
    }
    for (const auto &[name, vm] : m_upstreams) {
        if (!listed.contains(name))
            m_table.onRemoved(name);
    }
    for (const auto &[name, vm] : listed) {
        if (!modelGroups.contains(vm.group)) {
            UpstreamInfo info;
            info.name = name;
            info.address = toText(vm.endpoint);
            info.group = vm.group;
            info.zone = vm.availabilityZone;
            m_table.onAnnounced(info, steadyNow());
        }
        if (vm.state == VmState::Leaving)
            m_table.onLeaving(name);
    }
    m_upstreams = std::move(listed);
}

asio::awaitable<void> UpstreamFeed::pollEngines()
{
    const auto executor = co_await asio::this_coro::executor;
    for (const auto &[name, vm] : m_upstreams) {
        if (m_modelGroups.contains(vm.group) && m_polling.insert(name).second)
            asio::co_spawn(executor, pollEngine(vm), asio::detached);
    }
}

asio::awaitable<void> UpstreamFeed::pollEngine(VmEntry vm)
{
    try {
        co_await pollState(vm);
        co_await pollLoad(vm);
        co_await pollCacheEvents(vm);
    } catch (const std::exception &) {
        // An engine that reports nonsense keeps its last good report, which soon counts as too old.
    }
    m_polling.erase(vm.name);
}

asio::awaitable<void> UpstreamFeed::pollState(const VmEntry &vm)
{
    const auto state = co_await askEngine(m_http, vm.endpoint, "/state");
    if (!state)
        co_return;
    UpstreamInfo info;
    info.name = vm.name;
    info.address = toText(vm.endpoint);
    info.group = vm.group;
    info.zone = vm.availabilityZone;
    info.incarnation = state->at("incarnation").to_number<std::uint64_t>();
    info.resident = readyModels(*state);
    m_table.onAnnounced(info, steadyNow());
    if (vm.state == VmState::Leaving)
        m_table.onLeaving(vm.name);
}

asio::awaitable<void> UpstreamFeed::pollLoad(const VmEntry &vm)
{
    const auto load = co_await askEngine(m_http, vm.endpoint, "/load");
    if (!load)
        co_return;
    LoadReport report;
    report.upstream = vm.name;
    report.sequence = ++m_loadReports[vm.name];
    report.age = std::chrono::milliseconds(load->at("age_ms").to_number<std::int64_t>());
    report.running = load->at("in_flight").to_number<int>();
    report.slots = load->at("slots").to_number<int>();
    m_table.onLoadReport(report, steadyNow());
}

asio::awaitable<void> UpstreamFeed::pollCacheEvents(const VmEntry &vm)
{
    const UpstreamRow *row = m_table.find(vm.name);
    if (row == nullptr)
        co_return;
    const std::uint32_t number = row->number;
    const std::uint64_t incarnation = row->info.incarnation;
    std::uint64_t &last = m_lastEvents[vm.name + "/" + std::to_string(incarnation)];
    const std::string target = "/cache-events?after=" + std::to_string(last);
    const auto events = co_await askEngine(m_http, vm.endpoint, target);
    if (!events)
        co_return;
    for (const json::value &item : events->at("events").as_array()) {
        CacheEvent event;
        event.upstream = vm.name;
        event.incarnation = incarnation;
        event.sequence = item.at("sequence").to_number<std::uint64_t>();
        const auto block = item.at("block").to_number<std::uint64_t>();
        (item.at("added").as_bool() ? event.stored : event.evicted).push_back(block);
        last = event.sequence;
        m_prefixes.onCacheEvent(number, event);
    }
}

} // namespace burdock
