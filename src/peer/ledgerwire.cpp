#include "peer/ledgerwire.h"

#include "peer.pb.h"
#include "peer/wireenum.h"

#include <algorithm>
#include <type_traits>

namespace burdock {

namespace {

// ---- Parts --------------------------------------------------------------------------------------

void write(const OrderKey &order, wire::OrderKey *out)
{
    out->set_service(order.service);
    out->set_key(order.key);
}

OrderKey read(const wire::OrderKey &in)
{
    return { in.service(), in.key() };
}

void write(const NodeIdentity &node, wire::Node *out)
{
    out->set_name(node.node);
    out->set_incarnation(node.incarnation);
}

NodeIdentity read(const wire::Node &in)
{
    return { in.name(), in.incarnation() };
}

void write(const RecordedAnswer &answer, wire::RecordedAnswer *out)
{
    out->set_status(static_cast<std::uint32_t>(answer.status));
    out->set_content_type(answer.contentType);
    out->set_body(answer.body);
    out->set_body_omitted(answer.bodyOmitted);
}

RecordedAnswer read(const wire::RecordedAnswer &in)
{
    RecordedAnswer answer;
    answer.status = static_cast<int>(in.status());
    answer.contentType = in.content_type();
    answer.body = in.body();
    answer.bodyOmitted = in.body_omitted();
    return answer;
}

// ---- Ledger messages ----------------------------------------------------------------------------

void write(const Admit &message, wire::LedgerMessage &out)
{
    auto *admit = out.mutable_admit();
    write(message.order, admit->mutable_order());
    admit->set_fingerprint(message.fingerprint);
    admit->set_attempt(message.attempt);
    write(message.entry, admit->mutable_entry());
}

void write(const AdmitReply &message, wire::LedgerMessage &out)
{
    auto *reply = out.mutable_admit_reply();
    write(message.order, reply->mutable_order());
    reply->set_attempt(message.attempt);
    reply->set_verdict(static_cast<std::uint32_t>(message.verdict));
    reply->set_state(static_cast<std::uint32_t>(message.state));
    write(message.answer, reply->mutable_answer());
    reply->set_retry_after_ms(static_cast<std::uint64_t>(message.retryAfter.count()));
}

void write(const NotOwner &message, wire::LedgerMessage &out)
{
    auto *notOwner = out.mutable_not_owner();
    write(message.order, notOwner->mutable_order());
    notOwner->set_attempt(message.attempt);
    notOwner->set_hint(message.hint);
}

void write(const Outcome &message, wire::LedgerMessage &out)
{
    auto *outcome = out.mutable_outcome();
    write(message.order, outcome->mutable_order());
    outcome->set_fingerprint(message.fingerprint);
    outcome->set_attempt(message.attempt);
    write(message.entry, outcome->mutable_entry());
    outcome->set_state(static_cast<std::uint32_t>(message.state));
    write(message.answer, outcome->mutable_answer());
}

void write(const OutcomeAck &message, wire::LedgerMessage &out)
{
    auto *ack = out.mutable_outcome_ack();
    write(message.order, ack->mutable_order());
    ack->set_attempt(message.attempt);
}

void write(const Release &message, wire::LedgerMessage &out)
{
    auto *release = out.mutable_release();
    write(message.order, release->mutable_order());
    release->set_attempt(message.attempt);
}

Admit read(const wire::Admit &in)
{
    return { read(in.order()), in.fingerprint(), in.attempt(), read(in.entry()) };
}

std::optional<LedgerMessage> readReply(const wire::AdmitReply &in)
{
    const auto verdict = readEnum(in.verdict(), AdmitVerdict::Refused);
    const auto state = readEnum(in.state(), DuplicateState::Answered);
    if (!verdict || !state)
        return std::nullopt;
    AdmitReply reply;
    reply.order = read(in.order());
    reply.attempt = in.attempt();
    reply.verdict = *verdict;
    reply.state = *state;
    reply.answer = read(in.answer());
    reply.retryAfter = std::chrono::milliseconds(in.retry_after_ms());
    return reply;
}

std::optional<LedgerMessage> readOutcome(const wire::Outcome &in)
{
    const auto state = readEnum(in.state(), OrderState::Released);
    if (!state)
        return std::nullopt;
    Outcome outcome;
    outcome.order = read(in.order());
    outcome.fingerprint = in.fingerprint();
    outcome.attempt = in.attempt();
    outcome.entry = read(in.entry());
    outcome.state = *state;
    outcome.answer = read(in.answer());
    return outcome;
}

// ---- Ledger objects -----------------------------------------------------------------------------

void write(const LedgerRecord &record, wire::LedgerRecord *out)
{
    write(record.order, out->mutable_order());
    out->set_fingerprint(record.fingerprint);
    out->set_attempt(record.attempt);
    out->set_node(record.node);
    out->set_node_incarnation(record.nodeIncarnation);
    out->set_state(static_cast<std::uint32_t>(record.state));
    write(record.answer, out->mutable_answer());
    out->set_recorded_at_s(static_cast<std::uint64_t>(record.recordedAt.count()));
}

std::optional<LedgerRecord> read(const wire::LedgerRecord &in)
{
    const auto state = readEnum(in.state(), OrderState::Released);
    if (!state)
        return std::nullopt;
    LedgerRecord record;
    record.order = read(in.order());
    record.fingerprint = in.fingerprint();
    record.attempt = in.attempt();
    record.node = in.node();
    record.nodeIncarnation = in.node_incarnation();
    record.state = *state;
    record.answer = read(in.answer());
    record.recordedAt = std::chrono::seconds(in.recorded_at_s());
    return record;
}

template <typename Repeated>
std::optional<std::vector<LedgerRecord>> readRecords(const Repeated &in)
{
    std::vector<LedgerRecord> records;
    for (const auto &each : in) {
        auto record = read(each);
        if (!record)
            return std::nullopt;
        records.push_back(std::move(*record));
    }
    return records;
}

// ---- Quarantine messages ------------------------------------------------------------------------

void write(const CrashReport &message, wire::QuarantineMessage &out)
{
    auto *report = out.mutable_crash_report();
    report->set_upstream(message.upstream);
    for (const LostRun &run : message.runs) {
        auto *lost = report->add_runs();
        lost->set_fingerprint(run.fingerprint);
        lost->set_run(run.run);
    }
}

void write(const SuspectCleared &message, wire::QuarantineMessage &out)
{
    auto *cleared = out.mutable_suspect_cleared();
    cleared->set_fingerprint(message.fingerprint);
    for (const std::string &upstream : message.upstreams)
        cleared->add_upstreams(upstream);
}

void write(const PermitRequest &message, wire::QuarantineMessage &out)
{
    auto *request = out.mutable_permit_request();
    request->set_fingerprint(message.fingerprint);
    request->set_run(message.run);
    request->set_node(message.node);
    for (const std::string &upstream : message.upstreams)
        request->add_upstreams(upstream);
}

void write(const PermitReply &message, wire::QuarantineMessage &out)
{
    auto *reply = out.mutable_permit_reply();
    reply->set_fingerprint(message.fingerprint);
    reply->set_run(message.run);
    reply->set_verdict(static_cast<std::uint32_t>(message.verdict));
}

void write(const PermitReturn &message, wire::QuarantineMessage &out)
{
    auto *returned = out.mutable_permit_return();
    returned->set_fingerprint(message.fingerprint);
    returned->set_run(message.run);
}

void write(const SuspectsRequest &message, wire::QuarantineMessage &out)
{
    out.mutable_suspects_request()->set_node(message.node);
}

void write(const SuspectsReply &message, wire::QuarantineMessage &out)
{
    auto *reply = out.mutable_suspects_reply();
    for (const auto &[fingerprint, upstreams] : message.losses) {
        auto *suspect = reply->add_suspects();
        suspect->set_fingerprint(fingerprint);
        for (const std::string &upstream : upstreams)
            suspect->add_upstreams(upstream);
    }
}

template <typename Repeated>
std::vector<std::string> readNames(const Repeated &names)
{
    return { names.begin(), names.end() };
}

CrashReport read(const wire::CrashReport &in)
{
    CrashReport report;
    report.upstream = in.upstream();
    for (const auto &run : in.runs())
        report.runs.push_back({ run.fingerprint(), run.run() });
    return report;
}

std::optional<QuarantineMessage> readPermitReply(const wire::PermitReply &in)
{
    const auto verdict = readEnum(in.verdict(), PermitVerdict::Refused);
    if (!verdict)
        return std::nullopt;
    return PermitReply { in.fingerprint(), in.run(), *verdict };
}

SuspectsReply read(const wire::SuspectsReply &in)
{
    SuspectsReply reply;
    for (const auto &suspect : in.suspects())
        reply.losses[suspect.fingerprint()] = readNames(suspect.upstreams());
    return reply;
}

} // namespace

void toWire(const LedgerMessage &message, wire::LedgerMessage &out)
{
    std::visit([&out](const auto &each) { write(each, out); }, message);
}

std::optional<LedgerMessage> fromWire(const wire::LedgerMessage &in)
{
    switch (in.kind_case()) {
    case wire::LedgerMessage::kAdmit:
        return read(in.admit());
    case wire::LedgerMessage::kAdmitReply:
        return readReply(in.admit_reply());
    case wire::LedgerMessage::kNotOwner:
        return NotOwner { read(in.not_owner().order()), in.not_owner().attempt(),
                          in.not_owner().hint() };
    case wire::LedgerMessage::kOutcome:
        return readOutcome(in.outcome());
    case wire::LedgerMessage::kOutcomeAck:
        return OutcomeAck { read(in.outcome_ack().order()), in.outcome_ack().attempt() };
    case wire::LedgerMessage::kRelease:
        return Release { read(in.release().order()), in.release().attempt() };
    case wire::LedgerMessage::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

void toWire(const QuarantineMessage &message, wire::QuarantineMessage &out)
{
    std::visit([&out](const auto &each) { write(each, out); }, message);
}

std::optional<QuarantineMessage> fromWire(const wire::QuarantineMessage &in)
{
    switch (in.kind_case()) {
    case wire::QuarantineMessage::kCrashReport:
        return read(in.crash_report());
    case wire::QuarantineMessage::kSuspectCleared:
        return SuspectCleared { in.suspect_cleared().fingerprint(),
                                readNames(in.suspect_cleared().upstreams()) };
    case wire::QuarantineMessage::kPermitRequest:
        return PermitRequest { in.permit_request().fingerprint(), in.permit_request().run(),
                               in.permit_request().node(),
                               readNames(in.permit_request().upstreams()) };
    case wire::QuarantineMessage::kPermitReply:
        return readPermitReply(in.permit_reply());
    case wire::QuarantineMessage::kPermitReturn:
        return PermitReturn { in.permit_return().fingerprint(), in.permit_return().run() };
    case wire::QuarantineMessage::kSuspectsRequest:
        return SuspectsRequest { in.suspects_request().node() };
    case wire::QuarantineMessage::kSuspectsReply:
        return read(in.suspects_reply());
    case wire::QuarantineMessage::KIND_NOT_SET:
        break;
    }
    return std::nullopt;
}

std::string ledgerHeadBytes(const LedgerHead &head)
{
    wire::LedgerHead out;
    out.set_owner(head.owner);
    out.set_owner_incarnation(head.ownerIncarnation);
    out.set_batch(head.batch);
    for (const LedgerRecord &record : head.recent)
        write(record, out.add_recent());
    for (const SegmentRef &segment : head.segments) {
        auto *reference = out.add_segments();
        reference->set_name(segment.name);
        reference->set_bytes(segment.bytes);
        reference->set_newest_at_s(static_cast<std::uint64_t>(segment.newestAt.count()));
    }
    return out.SerializeAsString();
}

std::optional<LedgerHead> parseLedgerHead(const std::string &bytes)
{
    wire::LedgerHead in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    auto recent = readRecords(in.recent());
    if (!recent)
        return std::nullopt;
    LedgerHead head;
    head.owner = in.owner();
    head.ownerIncarnation = in.owner_incarnation();
    head.batch = in.batch();
    head.recent = std::move(*recent);
    for (const auto &segment : in.segments())
        head.segments.push_back(
                { segment.name(), segment.bytes(), std::chrono::seconds(segment.newest_at_s()) });
    return head;
}

std::string ledgerSegmentBytes(const std::vector<LedgerRecord> &records)
{
    wire::LedgerSegment out;
    for (const LedgerRecord &record : records)
        write(record, out.add_records());
    return out.SerializeAsString();
}

std::optional<std::vector<LedgerRecord>> parseLedgerSegment(const std::string &bytes)
{
    wire::LedgerSegment in;
    if (!in.ParseFromString(bytes))
        return std::nullopt;
    return readRecords(in.records());
}

} // namespace burdock
