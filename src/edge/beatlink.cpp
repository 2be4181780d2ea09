#include "edge/beatlink.h"

#include "net/endpoint.h"

#include <boost/asio/ip/udp.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>
#include <boost/json/value_to.hpp>

#include <algorithm>
#include <array>
#include <cmath>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;
using Udp = asio::ip::udp;

// ---- Text form ----------------------------------------------------------------------------------
// Short arrays, since a datagram should fit one packet: [type, ...].

namespace {

constexpr std::size_t MostDatagram = 8 * 1024;
constexpr std::size_t MaxWorkTimeServices = 16; // in a heartbeat
constexpr std::int64_t MaxWaitedMs = 60'000; // that a note may state; waits are forgotten earlier

enum class MessageType : std::int64_t {
    Beat = 1,
    Want = 2,
    Copy = 3,
    Prompt = 5, // 4 is of earlier versions
    Limit = 6,
    Suspects = 7,
    Quota = 8,
};

json::array nodeToJson(const NodeInfo &node)
{
    return { node.name, node.ip, node.zone, static_cast<std::int64_t>(std::lround(node.capacity)) };
}

std::string textAt(const json::array &list, std::size_t index)
{
    return std::string(list.at(index).as_string());
}

NodeInfo nodeFromJson(const json::value &value)
{
    const auto &list = value.as_array();
    NodeInfo node { textAt(list, 0), textAt(list, 1), textAt(list, 2) };
    if (list.size() > 3) // nodes of earlier versions state no capacity
        node.capacity = std::max(0.0, list.at(3).to_number<double>());
    return node;
}

json::array toJson(const BeatMessage &message)
{
    json::array others;
    for (const NodeInfo &node : message.beat.others)
        others.emplace_back(nodeToJson(node));
    std::vector<CopyDemand> rows = message.demand;
    std::sort(rows.begin(), rows.end(), [](const CopyDemand &left, const CopyDemand &right) {
        return left.tokensPerSecond > right.tokensPerSecond;
    });
    if (rows.size() > MaxDemandRows)
        rows.resize(MaxDemandRows);
    json::array demand;
    for (const CopyDemand &row : rows)
        demand.emplace_back(json::array { row.service, row.model, row.adapter,
                                          static_cast<std::int64_t>(row.tokensPerSecond) });
    const HolderClaim &holder = message.beat.holder;
    json::array list { static_cast<std::int64_t>(MessageType::Beat),
                       nodeToJson(message.beat.sender),
                       message.beat.started,
                       message.beat.leaving,
                       json::array { holder.name, holder.ip, holder.term },
                       others,
                       demand,
                       message.beat.requestsPerSecond,
                       message.beat.storeReached };
    json::array services;
    for (const std::string &service : message.workTimeServices) {
        if (services.size() < MaxWorkTimeServices)
            services.emplace_back(service);
    }
    list.emplace_back(std::move(services));
    list.emplace_back(message.beat.storeEra);
    return list;
}

json::array toJson(const WantNote &note)
{
    return { static_cast<std::int64_t>(MessageType::Want), note.service, note.model, note.adapter,
             note.waited.count() };
}

json::array toJson(const CopyNote &note)
{
    return { static_cast<std::int64_t>(MessageType::Copy), note.replica, note.copy,
             static_cast<std::int64_t>(note.change), note.usableIn.count() };
}

json::array toJson(const SuspectNotes &message)
{
    json::array list { static_cast<std::int64_t>(MessageType::Suspects) };
    for (const SuspectNote &note : message.notes) {
        json::array crashes;
        for (const std::uint64_t crash : note.crashes)
            crashes.emplace_back(crash);
        list.emplace_back(json::array { note.key.id, note.key.kind == SuspectKind::PromptPart,
                                        note.round, note.wasServed, note.trials, crashes });
    }
    return list;
}

SuspectNotes suspectsFromJson(const json::array &list)
{
    SuspectNotes message;
    for (std::size_t index = 1; index < list.size(); ++index) {
        const auto &fields = list.at(index).as_array();
        SuspectNote note;
        note.key.id = fields.at(0).to_number<std::uint64_t>();
        note.key.kind = fields.at(1).as_bool() ? SuspectKind::PromptPart : SuspectKind::Request;
        note.round = fields.at(2).to_number<std::uint32_t>();
        note.wasServed = fields.at(3).as_bool();
        note.trials = fields.at(4).to_number<int>();
        for (const auto &crash : fields.at(5).as_array())
            note.crashes.push_back(crash.to_number<std::uint64_t>());
        message.notes.push_back(std::move(note));
    }
    return message;
}

json::array toJson(const PromptNote &note)
{
    return { static_cast<std::int64_t>(MessageType::Prompt), note.replica, note.freshTokens,
             note.ticket, note.withdrawn };
}

json::array toJson(const LimitNote &note)
{
    return { static_cast<std::int64_t>(MessageType::Limit), note.replica, note.startedMs,
             note.limit ? json::value(*note.limit) : json::value(nullptr) };
}

LimitNote limitFromJson(const json::array &list)
{
    LimitNote note { textAt(list, 1), list.at(2).to_number<std::uint64_t>(), std::nullopt };
    if (list.at(3).is_null())
        return note;
    note.limit = list.at(3).to_number<double>();
    if (!(*note.limit >= 0.0))
        throw std::invalid_argument("negative limit");
    return note;
}

json::array toJson(const QuotaNote &note)
{
    // Whole numbers are shorter; a fraction of a request or token does not matter.
    const auto whole = [](double amount) {
        return static_cast<std::int64_t>(std::llround(amount));
    };
    json::array list { static_cast<std::int64_t>(MessageType::Quota), note.node, note.startedMs,
                       note.number };
    for (const QuotaUse &use : note.uses)
        list.emplace_back(json::array { use.organisation, whole(use.spent), whole(use.perSecond),
                                        whole(use.level), use.isActive });
    return list;
}

QuotaNote quotaFromJson(const json::array &list)
{
    QuotaNote note { textAt(list, 1),
                     list.at(2).to_number<std::uint64_t>(),
                     list.at(3).to_number<std::uint64_t>(),
                     {} };
    for (std::size_t index = 4; index < list.size(); ++index) {
        const auto &fields = list.at(index).as_array();
        note.uses.push_back({ textAt(fields, 0), fields.at(1).to_number<double>(),
                              fields.at(2).to_number<double>(), fields.at(3).to_number<double>(),
                              fields.at(4).as_bool() });
    }
    return note;
}

BeatMessage beatFromJson(const json::array &list)
{
    BeatMessage message;
    message.beat.sender = nodeFromJson(list.at(1));
    message.beat.started = list.at(2).to_number<std::uint64_t>();
    message.beat.leaving = list.at(3).as_bool();
    const auto &holder = list.at(4).as_array();
    message.beat.holder = { textAt(holder, 0), textAt(holder, 1),
                            holder.at(2).to_number<std::uint64_t>() };
    for (const auto &node : list.at(5).as_array())
        message.beat.others.push_back(nodeFromJson(node));
    for (const auto &row : list.at(6).as_array()) {
        const auto &fields = row.as_array();
        message.demand.push_back({ textAt(fields, 0), textAt(fields, 1), textAt(fields, 2),
                                   fields.at(3).to_number<double>() });
    }
    message.beat.requestsPerSecond = list.at(7).to_number<double>();
    message.beat.storeReached = list.at(8).as_bool();
    if (list.size() > 9) { // earlier versions do not state them
        for (const auto &service : list.at(9).as_array())
            message.workTimeServices.emplace_back(service.as_string());
    }
    if (list.size() > 10)
        message.beat.storeEra = list.at(10).to_number<std::uint64_t>();
    return message;
}

CopyChange copyChangeFrom(const json::value &value)
{
    const auto number = value.to_number<std::int64_t>();
    if (number < 0 || number > static_cast<std::int64_t>(CopyChange::Unloading))
        throw std::invalid_argument("unknown change of a copy");
    return static_cast<CopyChange>(number);
}

WantNote wantFromJson(const json::array &list)
{
    WantNote note { textAt(list, 1), textAt(list, 2), textAt(list, 3), {} };
    if (list.size() > 4) // earlier versions do not state it
        note.waited = std::chrono::milliseconds(
                std::clamp<std::int64_t>(list.at(4).to_number<std::int64_t>(), 0, MaxWaitedMs));
    return note;
}

PeerMessage fromJson(const json::array &list)
{
    switch (static_cast<MessageType>(list.at(0).to_number<std::int64_t>())) {
    case MessageType::Beat:
        return beatFromJson(list);
    case MessageType::Want:
        return wantFromJson(list);
    case MessageType::Copy:
        return CopyNote { textAt(list, 1), textAt(list, 2), copyChangeFrom(list.at(3)),
                          std::chrono::milliseconds(list.at(4).to_number<std::int64_t>()) };
    case MessageType::Suspects:
        return suspectsFromJson(list);
    case MessageType::Prompt:
        return PromptNote { textAt(list, 1), list.at(2).to_number<int>(),
                            list.at(3).to_number<std::uint64_t>(), list.at(4).as_bool() };
    case MessageType::Limit:
        return limitFromJson(list);
    case MessageType::Quota:
        return quotaFromJson(list);
    }
    throw std::invalid_argument("unknown type of message");
}

} // namespace

std::string encodePeerMessage(const PeerMessage &message)
{
    return json::serialize(
            std::visit([](const auto &content) { return toJson(content); }, message));
}

std::optional<PeerMessage> decodePeerMessage(std::string_view text)
{
    try {
        return fromJson(json::parse({ text.data(), text.size() }).as_array());
    } catch (const std::exception &) {
        return std::nullopt; // the caller logs it
    }
}

// ---- Socket -------------------------------------------------------------------------------------

struct BeatLink::State
{
    State(asio::io_context &io, EventLog &eventLog, BeatListener &receiver)
        : socket(io)
        , log(eventLog)
        , listener(receiver)
    {
    }

    void receive();

    Udp::socket socket;
    EventLog &log;
    BeatListener &listener;
    std::uint16_t port = 0;
    std::array<char, MostDatagram> buffer {};
    Udp::endpoint sender;
};

void BeatLink::State::receive()
{
    socket.async_receive_from(
            asio::buffer(buffer), sender,
            [this](boost::system::error_code failure, std::size_t bytes) {
                if (failure == asio::error::operation_aborted)
                    return;
                if (!failure) {
                    if (const auto message = decodePeerMessage({ buffer.data(), bytes }))
                        listener.onPeerMessage(*message, sender.address().to_string());
                    else
                        log.line("peer_message_invalid")
                                .field("from", sender.address().to_string());
                }
                receive();
            });
}

BeatLink::BeatLink(asio::io_context &io, EventLog &log, BeatListener &listener)
    : m_state(std::make_unique<State>(io, log, listener))
{
}

BeatLink::~BeatLink() = default;

Result<Done> BeatLink::listen(const std::string &ip, std::uint16_t port)
{
    boost::system::error_code failure;
    const Udp::endpoint address(asio::ip::make_address(ip, failure), port);
    if (!failure)
        m_state->socket.open(Udp::v4(), failure);
    if (!failure)
        m_state->socket.bind(address, failure);
    if (!failure)
        m_state->socket.non_blocking(true, failure);
    if (failure)
        return Error { ResultCode::SettingsClash,
                       "cannot listen on " + toText(Endpoint { ip, port }) + ": "
                               + failure.message() };
    m_state->port = port;
    m_state->receive();
    return Done {};
}

void BeatLink::send(const PeerMessage &message, const std::vector<std::string> &addresses)
{
    if (addresses.empty())
        return;
    const std::string text = encodePeerMessage(message);
    for (const std::string &address : addresses) {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address(address, failure);
        if (failure)
            continue;
        // A datagram that cannot be sent is lost like one on its way.
        m_state->socket.send_to(asio::buffer(text), Udp::endpoint(ip, m_state->port), 0, failure);
    }
}

} // namespace burdock
