// Small helpers for Asio coroutines.
//
// Index
//   withError   completion token: errors go to a variable in place of an exception
//   toSteady    a deadline as Asio's timers want it
//   sleepFor    waits
#pragma once

#include "base/instant.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace burdock {

/// @param failure receives the error of the awaited operation
inline auto withError(boost::system::error_code &failure)
{
    return boost::asio::redirect_error(boost::asio::use_awaitable, failure);
}

/// @param deadline a point on the monotonic clock
inline std::chrono::steady_clock::time_point toSteady(Instant deadline)
{
    return std::chrono::steady_clock::time_point(deadline.time_since_epoch());
}

/// Waits in the current coroutine.
/// @param time how long
inline boost::asio::awaitable<void> sleepFor(Duration time)
{
    const auto executor = co_await boost::asio::this_coro::executor;
    boost::asio::steady_timer timer(executor, time);
    boost::system::error_code failure;
    co_await timer.async_wait(withError(failure));
}

} // namespace burdock
