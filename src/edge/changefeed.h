// Lets a few nodes watch the store for all others, so that its calls do not grow with the fleet.
//
// Index
//   ChangeCache        what a node has seen of the replicas, for nodes that ask
//   FeedPage           one answer of a node to another
//   FollowSettings, followSettings()
//   FollowedStore      an ObjectStore that asks other nodes first
//
// In each availability zone one node (NodeDirectory::storeWatchers) watches the store with short
// waits, so that it knows at any time how old its knowledge is. The others ask it, or the second
// one when it fails, by long polls that tell that age with every answer. A follower whose sources
// are too old asks the store itself; so it learns of a change in time also when its sources are cut
// from the store. Revisions are the store's own, which makes sources interchangeable; they are
// compared with their era, so a source that has not seen yet that the store came back from an older
// copy counts as failed. The configuration, which can be large, is read from the store when a
// source names a newer revision. Small fleets watch the store from every node.
#pragma once

#include "edge/eventlog.h"
#include "edge/ports.h"
#include "fleet/nodedirectory.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <list>
#include <map>

namespace burdock {

// ---- Page ---------------------------------------------------------------------------------------

struct FeedPage
{
    bool historyGone = false;            // list anew
    bool listed = false;                 // the items are all there are
    StoreRevision revision;              // of the store, for the replicas
    StoreRevision configRevision;        // of the newest configuration known
    std::chrono::milliseconds age { 0 }; // since the store last confirmed both
    std::vector<StoredItem> items;       // changes since the asked revision
};

std::string encodeFeedPage(const FeedPage &page);
std::optional<FeedPage> decodeFeedPage(std::string_view text);

// ---- Cache --------------------------------------------------------------------------------------

class ChangeCache
{
public:
    /// Takes the whole list.
    void onList(const std::vector<StoredItem> &items, StoreRevision revision);

    /// Takes changes up to a revision of the era of the list.
    void onChanges(const std::vector<StoredItem> &items, StoreRevision revision);

    /// @param since the asker's revision; none asks for the whole list
    /// @return what the asker lacks; for an asker of a later era the cache's own revision, alone
    FeedPage page(StoreRevision since) const;

    StoreRevision revision() const { return m_revision; }

private:
    struct Change
    {
        StoreRevision revision; // of the answer that brought it
        StoredItem item;
    };

    static constexpr std::size_t MostChanges =
            2'000; // some minutes' worth; then followers list anew

    std::map<std::string, StoredItem> m_items;
    std::deque<Change> m_changes; // by revision
    StoreRevision m_revision;
    StoreRevision m_oldest; // changes after it are kept
};

// ---- Store --------------------------------------------------------------------------------------

struct FollowSettings
{
    std::size_t smallFleet = 12; // up to here every node watches the store
    std::size_t watchersPerZone = 1;
    std::size_t sourcesPerZone = 2; // asked when the first fails; it follows too until then
    std::chrono::milliseconds watcherWait { 600 };  // age that a watcher's knowledge reaches
    std::chrono::milliseconds answerWay { 200 };    // of an answer from the store, at most
    std::chrono::milliseconds fallbackWait { 700 }; // of a follower's own call without a source
    std::chrono::milliseconds pollWait { 400 };     // a source holds a follower's question
    std::chrono::milliseconds pollTimeout { 900 };  // then the connection is silent, or the source
    // For the same question on another connection, which is not held: without an answer the source
    // has failed.
    std::chrono::milliseconds checkTimeout { 400 };
    // Knowledge that is older counts as stale, and a follower asks the store itself. Above
    // watcherWait and pollWait together, which it reaches while all is well; with a poll and a call
    // below the time in which a change must be in force.
    std::chrono::milliseconds mostAge { 1'100 };
    std::chrono::milliseconds sourceRest { 1'500 }; // a source that failed is not asked
    // After the start a node waits before its first watch, which then brings what was missed: by
    // then it has heard how many others there are.
    std::chrono::milliseconds watchAfter { 1'200 };
    std::chrono::milliseconds followAfter { 2'200 }; // its source has watched once
};

/// @param noticeTime within which a change must be in force at every node
/// @return settings that use what this is beyond the least that they are made for, 2 s: calls are
///         held for longer, so that a large fleet needs fewer of them
FollowSettings followSettings(std::chrono::milliseconds noticeTime);

class FollowedStore : public ObjectStore, public HttpHandler
{
public:
    /// @param store, http, directory, log must outlive the object
    /// @param feedPort where nodes answer each other's questions
    FollowedStore(boost::asio::io_context &io, ObjectStore &store, HttpClient &http,
                  NodeDirectory &directory, EventLog &log, NodeInfo self, std::uint16_t feedPort,
                  FollowSettings settings = {});

    boost::asio::awaitable<ListAnswer> list(ObjectKind kind) override;
    boost::asio::awaitable<WatchAnswer> watch(ObjectKind kind, StoreRevision revision,
                                              std::chrono::milliseconds wait) override;
    boost::asio::awaitable<ReadAnswer> read(ObjectKind kind, std::string name) override;
    boost::asio::awaitable<StoreWriteAnswer> write(ObjectKind kind, std::string name,
                                                   StoreRevision expectedRevision,
                                                   boost::json::value content) override;
    boost::asio::awaitable<WriteOutcome> remove(ObjectKind kind, std::string name) override;
    /// @return also what sources have named
    std::uint64_t latestEra() const override;

    /// Answers another node's question.
    boost::asio::awaitable<void> handle(const HttpRequest &request, HttpReply &reply) override;

    /// @return whether this node watches the store itself
    bool watches() const;

private:
    boost::asio::awaitable<ListAnswer> listFromStore(ObjectKind kind);
    boost::asio::awaitable<WatchAnswer> watchStore(ObjectKind kind, StoreRevision revision,
                                                   std::chrono::milliseconds wait);
    boost::asio::awaitable<WatchAnswer> followReplicas(StoreRevision revision, Instant until);
    boost::asio::awaitable<WatchAnswer> followConfig(StoreRevision revision, Instant until);
    boost::asio::awaitable<std::optional<FeedPage>> ask(const std::string &ip,
                                                        StoreRevision revision);
    boost::asio::awaitable<CallResult<HttpResponse>> callSource(const std::string &ip,
                                                                StoreRevision revision);
    boost::asio::awaitable<void> awaitStart();
    std::optional<std::string> source();
    std::chrono::milliseconds age() const;
    void noteConfig(const std::vector<StoredItem> &items);
    void wakeAskers();

    boost::asio::io_context &m_io;
    ObjectStore &m_store;
    HttpClient &m_http;
    NodeDirectory &m_directory;
    EventLog &m_log;
    NodeInfo m_self;
    std::uint16_t m_feedPort;
    FollowSettings m_settings;
    ChangeCache m_cache;
    Instant m_started;
    StoreRevision m_configRevision;           // of the newest that this node has seen
    StoreRevision m_configRevisionTold;       // named by a source
    Instant m_replicasConfirmed;              // asked of the store then, by this node or its source
    Instant m_configConfirmed;                //
    std::map<std::string, Instant> m_resting; // sources that failed, by address
    std::list<boost::asio::steady_timer *> m_askers; // questions that wait for changes
};

} // namespace burdock
