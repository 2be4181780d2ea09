// Follows all objects of one kind in the store: lists them once, then watches their changes.
//
// A call that fails is repeated from the revision reached, after a pause that grows. Objects are
// listed anew when the store has forgotten that part of its history or came back from an older
// copy, and after a failure those of which only the newest version counts: the configuration.
//
// A call without an answer on a kept connection shows a silent connection or a store that is away;
// the next one, on another connection and at once, tells which. Either way the store may have been
// away until it is answered: objects that are missing then may only have lapsed, see returnedAt().
#pragma once

#include "edge/eventlog.h"
#include "edge/ports.h"

#include <boost/asio/io_context.hpp>

#include <optional>

namespace burdock {

class StoreListener
{
public:
    virtual ~StoreListener() = default;

    /// Takes the whole list; what is not in it is gone.
    virtual void onList(ObjectKind kind, const std::vector<StoredItem> &items) = 0;

    /// Takes changes since the list or the last changes.
    virtual void onChanges(ObjectKind kind, const std::vector<StoredItem> &items) = 0;
};

struct StoreWatchSettings
{
    // A call is held this long. A connection may go silent without a sign of it; after this time
    // and the client's slack the store is asked on another one.
    std::chrono::milliseconds wait { 2'000 };
    // The first call after a list or a failure is held this long: only an answer tells whether the
    // store came back from an older copy meanwhile.
    std::chrono::milliseconds firstWait { 200 };
    std::chrono::milliseconds firstPause { 100 }; // after a failure; doubles
    std::chrono::milliseconds lastPause { 800 }; // up to this: the store's return is noticed within
    // After changes: those that follow come together. Far below the time within which they must be
    // in force.
    std::chrono::milliseconds batchPause { 250 };
    Duration calmAfter =
            std::chrono::seconds(5); // without failures the store counts as undisturbed
};

/// @param noticeTime within which a change must be in force
/// @return settings with a longer pause after changes where there is time for it: in a large fleet
///         there is nearly always a change to report
StoreWatchSettings storeWatchSettings(std::chrono::milliseconds noticeTime);

class StoreWatch
{
public:
    /// @param store, log, listener must outlive the watch
    StoreWatch(boost::asio::io_context &io, ObjectStore &store, EventLog &log,
               StoreListener &listener, ObjectKind kind, StoreWatchSettings settings = {});

    void start();

    /// @return state of the store up to which the objects are known; none: they are being listed
    StoreRevision revision() const { return m_revision; }

    /// @return whether the last call failed, and not by a silent connection alone
    bool unreachable() const { return m_failing; }

    /// @return when the store answered again after the latest call that failed, or listed an older
    ///         state; zero: never. It may have been away until then, but not since.
    Instant returnedAt() const { return m_returnedAt; }

    /// @return when the store was last known to have the objects as they are known here: when the
    ///         call before the latest answer was sent; zero: never
    Instant knownAt() const { return m_knownAt; }

    /// @return whether the store was unreachable a short time ago
    bool disturbed(Instant now) const
    {
        return m_failing || (m_failedAt != Instant {} && now - m_failedAt < m_settings.calmAfter);
    }

private:
    boost::asio::awaitable<void> run();
    boost::asio::awaitable<void> step();
    boost::asio::awaitable<void> handleFailure(const StoreUnavailable &failure, Instant asked);
    void noteSuccess(Instant asked);

    boost::asio::io_context &m_io;
    ObjectStore &m_store;
    EventLog &m_log;
    StoreListener &m_listener;
    ObjectKind m_kind;
    StoreWatchSettings m_settings;
    StoreRevision m_revision; // none: list first
    bool m_confirmed = false; // the latest call was a watch that was answered
    bool m_failing = false;   // the latest call failed, and not by a silent connection alone
    bool m_hasFailed = false; // a call failed since the store last answered
    std::optional<std::uint64_t> m_listedEra; // of the latest list
    Instant m_failedAt;
    Instant m_returnedAt;  // see returnedAt()
    Instant m_knownAt;     // see knownAt()
    Instant m_confirmedAt; // when the latest call that was answered was sent
    std::chrono::milliseconds m_pause { 0 };
};

} // namespace burdock
