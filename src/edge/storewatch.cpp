#include "edge/storewatch.h"

#include "net/coroutines.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace burdock {

namespace asio = boost::asio;

namespace {

constexpr int NoticePauses = 8; // pauses that fit into the time in which a change must be in force

} // namespace

StoreWatchSettings storeWatchSettings(std::chrono::milliseconds noticeTime)
{
    StoreWatchSettings settings;
    settings.batchPause = std::max(settings.batchPause, noticeTime / NoticePauses);
    return settings;
}

StoreWatch::StoreWatch(asio::io_context &io, ObjectStore &store, EventLog &log,
                       StoreListener &listener, ObjectKind kind, StoreWatchSettings settings)
    : m_io(io)
    , m_store(store)
    , m_log(log)
    , m_listener(listener)
    , m_kind(kind)
    , m_settings(settings)
{
}

void StoreWatch::start()
{
    asio::co_spawn(m_io, run(), asio::detached);
}

asio::awaitable<void> StoreWatch::run()
{
    while (true)
        co_await step();
}

void StoreWatch::noteSuccess(Instant asked)
{
    m_knownAt = m_confirmedAt;
    m_confirmedAt = asked;
    if (m_failing)
        m_log.line("store_regained").field("kind", static_cast<int>(m_kind));
    if (m_hasFailed)
        m_returnedAt = steadyNow();
    m_failing = false;
    m_hasFailed = false;
    m_pause = std::chrono::milliseconds(0);
}

asio::awaitable<void> StoreWatch::handleFailure(const StoreUnavailable &failure, Instant asked)
{
    const bool mayBeConnection = failure.isConnectionSilent && !m_hasFailed;
    if (!m_failing)
        m_log.line(mayBeConnection ? "store_connection_silent" : "store_lost")
                .field("kind", static_cast<int>(m_kind))
                .field("failure", failure.message)
                .field("call_ms", steadyNow() - asked)
                .field("known_ms", steadyNow() - m_confirmedAt);
    m_hasFailed = true;
    m_confirmed = false;
    // A watch brings every version since, whole; a list only the newest.
    if (m_kind == ObjectKind::Configuration)
        m_revision = {};
    if (mayBeConnection)
        co_return;
    m_failing = true;
    m_failedAt = steadyNow();
    m_pause = m_pause.count() == 0 ? m_settings.firstPause
                                   : std::min(2 * m_pause, m_settings.lastPause);
    co_await sleepFor(m_pause);
}

asio::awaitable<void> StoreWatch::step()
{
    const Instant asked = steadyNow();
    if (m_revision.isNone()) {
        ListAnswer answer = co_await m_store.list(m_kind);
        if (const auto *failure = std::get_if<StoreUnavailable>(&answer)) {
            co_await handleFailure(*failure, asked);
            co_return;
        }
        auto &list = std::get<ItemList>(answer);
        if (m_listedEra && list.revision.era > *m_listedEra)
            m_hasFailed = true; // the store came back from an older copy
        m_listedEra = list.revision.era;
        m_revision = list.revision;
        m_confirmed = false;
        noteSuccess(asked);
        m_listener.onList(m_kind, list.items);
        co_return;
    }
    WatchAnswer answer = co_await m_store.watch(
            m_kind, m_revision, m_confirmed ? m_settings.wait : m_settings.firstWait);
    if (std::holds_alternative<HistoryGone>(answer)) {
        m_log.line("store_history_gone")
                .field("kind", static_cast<int>(m_kind))
                .field("era", m_revision.era)
                .field("revision", m_revision.number);
        m_revision = {};
        co_return;
    }
    if (const auto *failure = std::get_if<StoreUnavailable>(&answer)) {
        co_await handleFailure(*failure, asked);
        co_return;
    }
    auto &changes = std::get<ItemList>(answer);
    m_revision = changes.revision;
    m_confirmed = true;
    noteSuccess(asked);
    if (changes.items.empty())
        co_return;
    m_listener.onChanges(m_kind, changes.items);
    co_await sleepFor(m_settings.batchPause);
}

} // namespace burdock
