#include "edge/changefeed.h"

#include "net/coroutines.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;
using std::chrono::milliseconds;

namespace {

constexpr const char *FeedPath = "/changes";
/// A follower's configuration question looks this often whether a source has named a newer one.
constexpr milliseconds ConfigGlance { 40 };
/// The times of FollowSettings fit this bound; docs/PLATFORM.md has the sums.
constexpr milliseconds LeastNoticeTime { 2'000 };
constexpr milliseconds MostSpareTime { 2'000 };
/// A watcher's call is held at least this long: changes come together, and calls cost.
constexpr milliseconds ShortestWatch { 50 };
/// During the start a node looks this often whether it is one of those that watch.
constexpr milliseconds StartGlance { 100 };

std::uint64_t numberAt(const json::array &list, std::size_t index)
{
    return list.at(index).to_number<std::uint64_t>();
}

milliseconds elapsed(Instant since)
{
    return std::chrono::duration_cast<milliseconds>(steadyNow() - since);
}

} // namespace

// ---- Page ---------------------------------------------------------------------------------------

std::string encodeFeedPage(const FeedPage &page)
{
    json::array items;
    for (const StoredItem &item : page.items)
        items.emplace_back(
                json::array { item.name, item.revision.number, item.deleted, item.content });
    return json::serialize(json::array { page.historyGone, page.listed, page.revision.number,
                                         page.configRevision.number, page.age.count(), items,
                                         page.revision.era, page.configRevision.era });
}

std::optional<FeedPage> decodeFeedPage(std::string_view text)
{
    try {
        const auto value = json::parse({ text.data(), text.size() });
        const auto &list = value.as_array();
        FeedPage page;
        page.historyGone = list.at(0).as_bool();
        page.listed = list.at(1).as_bool();
        page.revision = { numberAt(list, 6), numberAt(list, 2) };
        page.configRevision = { numberAt(list, 7), numberAt(list, 3) };
        page.age = milliseconds(list.at(4).to_number<std::int64_t>());
        for (const auto &entry : list.at(5).as_array()) {
            const auto &fields = entry.as_array();
            page.items.push_back({ std::string(fields.at(0).as_string()),
                                   { page.revision.era, numberAt(fields, 1) },
                                   fields.at(2).as_bool(),
                                   fields.at(3) });
        }
        return page;
    } catch (const std::exception &) {
        return std::nullopt; // taken like a source that does not answer
    }
}

// ---- Cache --------------------------------------------------------------------------------------

void ChangeCache::onList(const std::vector<StoredItem> &items, StoreRevision revision)
{
    m_items.clear();
    for (const StoredItem &item : items)
        m_items[item.name] = item;
    m_changes.clear();
    m_revision = revision;
    m_oldest = revision;
}

void ChangeCache::onChanges(const std::vector<StoredItem> &items, StoreRevision revision)
{
    for (const StoredItem &item : items) {
        if (item.deleted)
            m_items.erase(item.name);
        else
            m_items[item.name] = item;
        m_changes.push_back({ revision, item });
    }
    m_revision = std::max(m_revision, revision);
    while (m_changes.size() > MostChanges) {
        m_oldest = m_changes.front().revision;
        m_changes.pop_front();
    }
}

FeedPage ChangeCache::page(StoreRevision since) const
{
    FeedPage page;
    page.revision = m_revision;
    if (since.isNone()) {
        page.listed = !m_revision.isNone();
        for (const auto &[name, item] : m_items)
            page.items.push_back(item);
        return page;
    }
    if (since.era > m_revision.era)
        return page;
    if (since < m_oldest) {
        page.historyGone = true;
        return page;
    }
    const auto first = std::upper_bound(m_changes.begin(), m_changes.end(), since,
                                        [](const StoreRevision &revision, const Change &change) {
                                            return revision < change.revision;
                                        });
    for (auto change = first; change != m_changes.end(); ++change)
        page.items.push_back(change->item);
    page.revision = std::max(since, m_revision);
    return page;
}

// ---- Roles --------------------------------------------------------------------------------------

FollowSettings followSettings(milliseconds noticeTime)
{
    FollowSettings settings;
    const milliseconds spare =
            std::clamp(noticeTime - LeastNoticeTime, milliseconds(0), MostSpareTime);
    settings.watcherWait += spare / 4;
    settings.fallbackWait += spare / 4;
    settings.pollWait += spare / 4;
    settings.pollTimeout += spare / 4;
    settings.mostAge += spare / 2;
    return settings;
}

FollowedStore::FollowedStore(asio::io_context &io, ObjectStore &store, HttpClient &http,
                             NodeDirectory &directory, EventLog &log, NodeInfo self,
                             std::uint16_t feedPort, FollowSettings settings)
    : m_io(io)
    , m_store(store)
    , m_http(http)
    , m_directory(directory)
    , m_log(log)
    , m_self(std::move(self))
    , m_feedPort(feedPort)
    , m_settings(settings)
    , m_started(steadyNow())
{
}

bool FollowedStore::watches() const
{
    if (m_directory.nodeCount() <= m_settings.smallFleet)
        return true;
    const auto first = m_directory.storeWatchers(m_settings.watchersPerZone, steadyNow());
    return std::any_of(first.begin(), first.end(),
                       [&](const NodeInfo &node) { return node.name == m_self.name; });
}

/// @return the address of a node to ask; nothing when all of them failed a short time ago
std::optional<std::string> FollowedStore::source()
{
    const Instant now = steadyNow();
    std::erase_if(m_resting, [&](const auto &entry) { return now >= entry.second; });
    std::vector<std::string> candidates;
    for (const NodeInfo &node : m_directory.storeWatchers(m_settings.sourcesPerZone, now)) {
        if (node.name != m_self.name && !m_resting.contains(node.ip))
            candidates.push_back(node.ip);
    }
    if (candidates.empty())
        return std::nullopt;
    return candidates.front();
}

/// The revision of the objects themselves: the store's own grows with every change of any object.
void FollowedStore::noteConfig(const std::vector<StoredItem> &items)
{
    for (const StoredItem &item : items)
        m_configRevision = std::max(m_configRevision, item.revision);
}

std::uint64_t FollowedStore::latestEra() const
{
    return std::max({ m_store.latestEra(), m_cache.revision().era, m_configRevision.era,
                      m_configRevisionTold.era });
}

milliseconds FollowedStore::age() const
{
    return elapsed(std::min(m_replicasConfirmed, m_configConfirmed));
}

// ---- Store --------------------------------------------------------------------------------------

asio::awaitable<ListAnswer> FollowedStore::listFromStore(ObjectKind kind)
{
    const Instant asked = steadyNow();
    ListAnswer answer = co_await m_store.list(kind);
    if (const auto *list = std::get_if<ItemList>(&answer)) {
        if (kind == ObjectKind::Replicas) {
            m_cache.onList(list->items, list->revision);
            m_replicasConfirmed = asked;
            wakeAskers();
        } else if (kind == ObjectKind::Configuration) {
            m_configConfirmed = asked;
            noteConfig(list->items);
        }
    }
    co_return answer;
}

asio::awaitable<ListAnswer> FollowedStore::list(ObjectKind kind)
{
    if (kind == ObjectKind::Replicas && !watches()) {
        if (const auto ip = source()) {
            auto page = co_await ask(*ip, {});
            if (page && page->listed && page->age <= m_settings.mostAge
                && page->revision >= m_cache.revision()) {
                m_cache.onList(page->items, page->revision);
                co_return ItemList { std::move(page->items), page->revision };
            }
        }
    }
    co_return co_await listFromStore(kind);
}

asio::awaitable<WatchAnswer> FollowedStore::watchStore(ObjectKind kind, StoreRevision revision,
                                                       milliseconds wait)
{
    const Instant asked = steadyNow();
    WatchAnswer answer = co_await m_store.watch(kind, revision, wait);
    const auto *changes = std::get_if<ItemList>(&answer);
    if (changes == nullptr)
        co_return answer;
    // What happened before the answer left is in it. Without changes it left when the wait was
    // over.
    const Instant now = steadyNow();
    const Instant confirmed = changes->items.empty()
            ? std::min(now, asked + Duration(wait))
            : std::max(asked, now - Duration(m_settings.answerWay));
    if (kind == ObjectKind::Replicas) {
        m_cache.onChanges(changes->items, changes->revision);
        m_replicasConfirmed = confirmed;
    } else if (kind == ObjectKind::Configuration) {
        m_configConfirmed = confirmed;
        noteConfig(changes->items);
    }
    if (!changes->items.empty())
        wakeAskers();
    co_return answer;
}

asio::awaitable<void> FollowedStore::awaitStart()
{
    while (true) {
        const bool isSmall = m_directory.nodeCount() <= m_settings.smallFleet;
        const milliseconds after =
                isSmall || watches() ? m_settings.watchAfter : m_settings.followAfter;
        const milliseconds left = after - elapsed(m_started);
        if (left.count() <= 0)
            co_return;
        co_await sleepFor(std::min(left, StartGlance));
    }
}

asio::awaitable<WatchAnswer> FollowedStore::watch(ObjectKind kind, StoreRevision revision,
                                                  milliseconds wait)
{
    co_await awaitStart();
    const bool followed = kind == ObjectKind::Replicas || kind == ObjectKind::Configuration;
    const bool isSmall = m_directory.nodeCount() <= m_settings.smallFleet;
    if (!followed || isSmall)
        co_return co_await watchStore(kind, revision, wait);
    if (watches()) {
        // What a watcher knows is never older than watcherWait, also after a pause between calls.
        const Instant confirmed =
                kind == ObjectKind::Replicas ? m_replicasConfirmed : m_configConfirmed;
        const milliseconds left = m_settings.watcherWait - elapsed(confirmed);
        co_return co_await watchStore(kind, revision,
                                      std::min(wait, std::max(left, ShortestWatch)));
    }
    const Instant until = steadyNow() + wait;
    if (kind == ObjectKind::Replicas)
        co_return co_await followReplicas(revision, until);
    co_return co_await followConfig(revision, until);
}

asio::awaitable<ReadAnswer> FollowedStore::read(ObjectKind kind, std::string name)
{
    co_return co_await m_store.read(kind, std::move(name));
}

asio::awaitable<StoreWriteAnswer> FollowedStore::write(ObjectKind kind, std::string name,
                                                       StoreRevision expectedRevision,
                                                       json::value content)
{
    co_return co_await m_store.write(kind, std::move(name), expectedRevision, std::move(content));
}

asio::awaitable<WriteOutcome> FollowedStore::remove(ObjectKind kind, std::string name)
{
    co_return co_await m_store.remove(kind, std::move(name));
}

// ---- Following ----------------------------------------------------------------------------------

asio::awaitable<CallResult<HttpResponse>> FollowedStore::callSource(const std::string &ip,
                                                                    StoreRevision revision)
{
    HttpRequest request;
    request.target = std::string(FeedPath) + "?since=" + std::to_string(revision.number)
            + "&era=" + std::to_string(revision.era);
    const Endpoint endpoint { ip, m_feedPort };
    auto result = co_await m_http.call(endpoint, request, steadyNow() + m_settings.pollTimeout);
    const auto *failure = std::get_if<CallFailure>(&result);
    if (failure == nullptr || !failure->timedOut || !failure->keptConnection)
        co_return result;
    m_log.line("feed_connection_silent").field("source", ip).field("failure", failure->message);
    request.target += "&hold=no";
    const Instant now = steadyNow();
    co_return co_await m_http.call(endpoint, std::move(request), now + m_settings.checkTimeout,
                                   { .usedSince = now });
}

asio::awaitable<std::optional<FeedPage>> FollowedStore::ask(const std::string &ip,
                                                            StoreRevision revision)
{
    auto result = co_await callSource(ip, revision);
    const auto *response = std::get_if<HttpResponse>(&result);
    const bool isAnswered = response != nullptr && response->head.status == StatusOk;
    auto page = isAnswered ? decodeFeedPage(response->body) : std::nullopt;
    const bool isBehind = page && page->revision.era < latestEra();
    if (!page || isBehind || page->age > m_settings.mostAge) {
        m_log.line("feed_source_lost")
                .field("source", ip)
                .field("age_ms", page ? std::int64_t(page->age.count()) : -1)
                .field("era", page ? page->revision.era : 0)
                .field("own_era", latestEra());
        m_resting[ip] = steadyNow() + m_settings.sourceRest;
        co_return std::nullopt;
    }
    const Instant confirmed = steadyNow() - Duration(page->age);
    m_replicasConfirmed = std::max(m_replicasConfirmed, confirmed);
    m_configConfirmed = std::max(m_configConfirmed, confirmed);
    m_configRevisionTold = std::max(m_configRevisionTold, page->configRevision);
    co_return page;
}

asio::awaitable<WatchAnswer> FollowedStore::followReplicas(StoreRevision revision, Instant until)
{
    while (steadyNow() < until) {
        if (revision.era < latestEra())
            co_return HistoryGone {};
        const auto ip = source();
        if (!ip)
            co_return co_await watchStore(ObjectKind::Replicas, revision, m_settings.fallbackWait);
        auto page = co_await ask(*ip, revision);
        if (!page)
            continue;
        if (page->historyGone)
            co_return HistoryGone {};
        if (page->items.empty() && page->revision <= revision)
            continue;
        m_cache.onChanges(page->items, page->revision);
        if (!page->items.empty())
            wakeAskers();
        co_return ItemList { std::move(page->items), page->revision };
    }
    co_return ItemList { {}, revision };
}

asio::awaitable<WatchAnswer> FollowedStore::followConfig(StoreRevision revision, Instant until)
{
    while (steadyNow() < until) {
        if (revision.era < latestEra())
            co_return HistoryGone {};
        const bool isNewer = m_configRevisionTold > m_configRevision;
        const bool isStale = elapsed(m_configConfirmed) > m_settings.mostAge;
        if (isNewer || isStale || watches())
            co_return co_await watchStore(ObjectKind::Configuration, revision,
                                          m_settings.fallbackWait);
        co_await sleepFor(ConfigGlance);
    }
    co_return ItemList { {}, revision };
}

// ---- Answering ----------------------------------------------------------------------------------

void FollowedStore::wakeAskers()
{
    for (asio::steady_timer *timer : m_askers)
        timer->cancel();
}

asio::awaitable<void> FollowedStore::handle(const HttpRequest &request, HttpReply &reply)
{
    const auto since = queryValue(request, "since");
    if (pathOf(request) != FeedPath || !since) {
        co_await reply.send(StatusNotFound, {}, "");
        co_return;
    }
    const std::string era = queryValue(request, "era").value_or("0");
    const StoreRevision revision { std::strtoull(era.c_str(), nullptr, 10),
                                   std::strtoull(since->c_str(), nullptr, 10) };
    FeedPage page = m_cache.page(revision);
    const bool mayHold = queryValue(request, "hold") != "no";
    if (mayHold && !revision.isNone() && page.items.empty() && !page.historyGone) {
        asio::steady_timer timer(m_io, m_settings.pollWait);
        const auto place = m_askers.insert(m_askers.end(), &timer);
        boost::system::error_code ignored; // cancelled: there are changes
        co_await timer.async_wait(withError(ignored));
        m_askers.erase(place);
        page = m_cache.page(revision);
    }
    page.configRevision = std::max(m_configRevision, m_configRevisionTold);
    page.age = age();
    co_await reply.send(StatusOk, {}, encodeFeedPage(page));
}

} // namespace burdock
