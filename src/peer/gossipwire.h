// Membership and configuration messages in their wire form.
//
// Reading returns nothing for a message that is incomplete or holds an unknown number.
#pragma once

#include "decide/configtracker.h"
#include "decide/membership.h"

#include <optional>

namespace burdock {

namespace wire {
class Gossip;
class PullRequest;
class PullReply;
} // namespace wire

void toWire(const GossipMessage &message, wire::Gossip &out);
std::optional<GossipMessage> fromWire(const wire::Gossip &in);

void toWire(const PullRequest &message, wire::PullRequest &out);
PullRequest fromWire(const wire::PullRequest &in);

void toWire(const PullReply &message, wire::PullReply &out);
PullReply fromWire(const wire::PullReply &in);

} // namespace burdock
