// Joins the search for what crashes replicas to the network: tries connections to replicas whose
// connections broke, and exchanges notes with the other nodes.
//
// Index
//   SuspectFleet   what the shell needs of its node
//   SuspectShell   runs of this node, notes of others
//
// Both interfaces by which requests arrive use it, each with its own way to reach other nodes.
#pragma once

#include "net/httpclient.h"
#include "suspects/crashevidence.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdock {

class SuspectFleet : public TrialOwners
{
public:
    /// Sends notes to other nodes, once.
    /// @param toAll to all that have callers, else to a few of them in turn
    virtual void sendSuspectNotes(const std::vector<SuspectNote> &notes, bool toAll) = 0;

    /// Other requests are refused now: those that wait may be among them.
    virtual void onRefusalsChanged() = 0;

    /// Logs what became of a run whose connection ended.
    virtual void logVerdict(const RunVerdict &verdict) = 0;

    /// Logs what this node now knows of a key.
    /// @param source "own" or "note"
    virtual void logSuspect(const SuspectNote &note, bool isRefused, const char *source) = 0;
};

class SuspectShell
{
public:
    /// @param http has the connections to replicas; it and `fleet` must outlive the shell
    SuspectShell(boost::asio::io_context &io, HttpClient &http, SuspectFleet &fleet);

    /// @return keys of a request, see CrashSuspects::keysOf()
    std::vector<SuspectKey> keysOf(std::uint64_t content,
                                   const std::vector<std::uint64_t> &parts) const
    {
        return m_suspects.keysOf(content, parts);
    }

    /// @return the key because of which a request must not be sent now, if there is one
    std::optional<std::uint64_t> blockingKey(const std::vector<SuspectKey> &keys) const;

    bool isRefused(std::uint64_t key) const { return m_suspects.isRefused(key); }

    /// Counts a run right before it is sent. Each started run ends with exactly one of the calls
    /// below.
    /// @return false if it must not be sent
    bool tryStart(SuspectRun &run);

    /// The run got its whole answer.
    void onServed(SuspectRun run);

    /// The run ended in another way, with its replica alive.
    void onEnded(SuspectRun run);

    /// The connection of the run ended before the answer or, if run.isAnswered, with it. In the
    /// first case this returns when it is known whether the replica takes connections.
    /// @param endpoint of the replica
    boost::asio::awaitable<void> onConnectionEnded(BrokenRun run, Endpoint endpoint);

    /// A replica answered a request.
    /// @param sentAt when the request was sent
    void onAnswer(const std::string &replica, Instant sentAt)
    {
        m_evidence.onAlive(replica, sentAt);
    }

    /// A replica refused a connection.
    void onRefused(const std::string &replica) { m_evidence.onRefused(replica); }

    /// The list of replicas no longer has a replica's process.
    void onDelisted(const std::string &replica) { m_evidence.onDelisted(replica); }

    /// Takes notes of another node.
    void onNotes(const std::vector<SuspectNote> &notes);

    /// Sends what is due. Call it several times a second.
    void tick();

    /// @return all notes with crashes, for a node that has just started
    std::vector<SuspectNote> notesForNewNode() { return m_suspects.notesToRepeat(MaxNotes); }

    const CrashSuspects &suspects() const { return m_suspects; }

    static constexpr std::size_t MaxNotes = 256; // sent to a node at a time

private:
    boost::asio::awaitable<void> tryConnection(std::string replica, Endpoint endpoint);
    boost::asio::awaitable<void> tryAgain(std::string replica, Endpoint endpoint);
    void judgeRuns();
    void sendChanges();

    boost::asio::io_context &m_io;
    HttpClient &m_http;
    SuspectFleet &m_fleet;
    CrashSuspects m_suspects;
    CrashEvidence m_evidence;
    std::map<std::string, std::shared_ptr<boost::asio::steady_timer>> m_tries; // by replica
    Instant m_nextRepeat;
};

} // namespace burdock
