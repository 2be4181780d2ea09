#include "peer/gossipwire.h"

#include "peer.pb.h"
#include "peer/wireenum.h"

namespace burdock {

namespace {

void write(const MemberItem &item, wire::MemberItem *out)
{
    out->set_name(item.name);
    out->set_state(static_cast<std::uint32_t>(item.state));
    out->set_incarnation(item.incarnation);
    out->set_zone(item.zone);
    out->set_address(item.address);
}

void write(const GossipRecord &note, wire::FleetNote *out)
{
    out->set_topic(note.topic);
    out->set_key(note.key);
    out->set_number(note.number);
    out->set_payload(note.payload);
}

void write(const PublishRecord &record, wire::PublishRecord *out)
{
    out->set_revision(record.revision);
    out->set_publish_id(record.publishId);
    out->set_operator_name(record.operatorName);
    for (const std::string &key : record.touched)
        out->add_touched(key);
}

PublishRecord read(const wire::PublishRecord &in)
{
    PublishRecord record;
    record.revision = in.revision();
    record.publishId = in.publish_id();
    record.operatorName = in.operator_name();
    record.touched.assign(in.touched().begin(), in.touched().end());
    return record;
}

void write(const ConfigDelta &delta, wire::ConfigDelta *out)
{
    out->set_base_revision(delta.baseRevision);
    out->set_revision(delta.revision);
    out->set_publish_id(delta.publishId);
    out->set_head_hash(delta.headHash);
    for (const PublishRecord &record : delta.records)
        write(record, out->add_records());
    for (const auto &[key, text] : delta.texts)
        (*out->mutable_texts())[key] = text;
    for (const std::string &key : delta.removed)
        out->add_removed(key);
}

ConfigDelta read(const wire::ConfigDelta &in)
{
    ConfigDelta delta;
    delta.baseRevision = in.base_revision();
    delta.revision = in.revision();
    delta.publishId = in.publish_id();
    delta.headHash = in.head_hash();
    for (const auto &record : in.records())
        delta.records.push_back(read(record));
    delta.texts.insert(in.texts().begin(), in.texts().end());
    delta.removed.assign(in.removed().begin(), in.removed().end());
    return delta;
}

} // namespace

void toWire(const GossipMessage &message, wire::Gossip &out)
{
    out.set_kind(static_cast<std::uint32_t>(message.kind));
    out.set_from(message.from);
    out.set_incarnation(message.incarnation);
    out.set_state(static_cast<std::uint32_t>(message.state));
    out.set_zone(message.zone);
    out.set_address(message.address);
    out.set_number(message.number);
    out.set_target(message.target);
    out.set_config_revision(message.configRevision);
    out.set_placement_revision(message.placementRevision);
    for (const MemberItem &item : message.members)
        write(item, out.add_members());
    for (const GossipRecord &note : message.records)
        write(note, out.add_notes());
}

std::optional<GossipMessage> fromWire(const wire::Gossip &in)
{
    const auto kind = readEnum(in.kind(), GossipKind::PingRequest);
    const auto state = readEnum(in.state(), MemberState::Dead);
    if (!kind || !state || in.from().empty())
        return std::nullopt;
    GossipMessage message;
    message.kind = *kind;
    message.from = in.from();
    message.incarnation = in.incarnation();
    message.state = *state;
    message.zone = in.zone();
    message.address = in.address();
    message.number = in.number();
    message.target = in.target();
    message.configRevision = in.config_revision();
    message.placementRevision = in.placement_revision();
    for (const auto &item : in.members()) {
        const auto itemState = readEnum(item.state(), MemberState::Dead);
        if (!itemState)
            return std::nullopt;
        message.members.push_back(
                { item.name(), *itemState, item.incarnation(), item.zone(), item.address() });
    }
    for (const auto &note : in.notes()) {
        if (note.payload().size() > MaxRecordPayloadBytes)
            return std::nullopt;
        message.records.push_back({ note.topic(), note.key(), note.number(), note.payload() });
    }
    return message;
}

void toWire(const PullRequest &message, wire::PullRequest &out)
{
    out.set_from(message.from);
    out.set_number(message.number);
    out.set_have_revision(message.haveRevision);
}

PullRequest fromWire(const wire::PullRequest &in)
{
    return { in.from(), in.number(), in.have_revision() };
}

void toWire(const PullReply &message, wire::PullReply &out)
{
    out.set_from(message.from);
    out.set_number(message.number);
    write(message.delta, out.mutable_delta());
}

PullReply fromWire(const wire::PullReply &in)
{
    return { in.from(), in.number(), read(in.delta()) };
}

} // namespace burdock
