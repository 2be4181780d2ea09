// Heartbeats and notes between nodes, as datagrams. They may be lost; what matters is repeated.
//
// Index
//   BeatMessage, WantNote, CopyNote, ...   what a datagram says
//   BeatListener    takes what arrives
//   BeatLink        the socket
#pragma once

#include "base/result.h"
#include "edge/eventlog.h"
#include "fleet/nodedirectory.h"
#include "organisations/quotaledger.h"
#include "placing/copyplacement.h"
#include "serving/requestlimits.h"
#include "suspects/crashsuspects.h"

#include <boost/asio/io_context.hpp>

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

/// Rows of demand that fit into one packet; of more, the largest are sent.
constexpr std::size_t MaxDemandRows = 40;

struct BeatMessage
{
    NodeHeartbeat beat;
    std::vector<CopyDemand> demand; // for the holder
    /// For the holder: services of which a replica told the sender its work time.
    std::vector<std::string> workTimeServices;
};

struct WantNote
{
    std::string service;
    std::string model;
    std::string adapter;
    std::chrono::milliseconds waited { 0 }; // since the first such request at the sender
};

struct CopyNote
{
    std::string replica;
    std::string copy;
    CopyChange change = CopyChange::Usable;
    std::chrono::milliseconds usableIn { 0 };
};

/// Notes that fit into one datagram.
constexpr std::size_t MaxSuspectNotes = 24;

struct SuspectNotes
{
    std::vector<SuspectNote> notes; // at most MaxSuspectNotes
};

/// The sender is about to give a replica a prompt to read, or takes that back.
struct PromptNote
{
    std::string replica;
    int freshTokens = 0;
    std::uint64_t ticket = 0; // see serving/promptclaims.h
    bool withdrawn = false;
};

using PeerMessage = std::variant<BeatMessage, WantNote, CopyNote, SuspectNotes, PromptNote,
                                 LimitNote, QuotaNote>;

class BeatListener
{
public:
    virtual ~BeatListener() = default;

    /// @param sender IP address that the message came from
    virtual void onPeerMessage(const PeerMessage &message, const std::string &sender) = 0;
};

class BeatLink
{
public:
    /// @param listener, log must outlive the link
    BeatLink(boost::asio::io_context &io, EventLog &log, BeatListener &listener);
    ~BeatLink();

    /// Binds and begins to receive.
    /// @return SettingsClash when the address cannot be bound
    Result<Done> listen(const std::string &ip, std::uint16_t port);

    /// Sends a message to nodes, once.
    /// @param addresses their IP addresses; the port is the same on all nodes
    void send(const PeerMessage &message, const std::vector<std::string> &addresses);

private:
    struct State;
    std::unique_ptr<State> m_state;
};

/// @return the message as text
std::string encodePeerMessage(const PeerMessage &message);

/// @return the message, or nothing when the text is none
std::optional<PeerMessage> decodePeerMessage(std::string_view text);

} // namespace burdock
