// Waiting until a revision is in force on every node.
#pragma once

#include "ctl/session.h"

#include <chrono>
#include <cstdint>

namespace burdock {

/// Waits with progress until a revision is in force on every node. Reports PublishNotInForce with
/// the nodes that lag when the time is up, or PlatformUnavailable if the nodes cannot be found.
/// @param revision what was published
/// @param waitTime how long to wait; 0: not at all
boost::asio::awaitable<void> waitUntilInForce(Session &session, std::uint64_t revision,
                                              std::chrono::seconds waitTime);

} // namespace burdock
