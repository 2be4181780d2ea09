// A value that one coroutine waits for and other code of the same thread sets.
//
//   AwaitedValue<Decision> decision(io);
//   ... decision.set(found);                 // elsewhere
//   Decision taken = co_await decision.take();
#pragma once

#include "net/coroutines.h"

#include <boost/asio/io_context.hpp>

#include <optional>
#include <utility>

namespace burdock {

template <typename T>
class AwaitedValue
{
public:
    explicit AwaitedValue(boost::asio::io_context &io)
        : m_wake(io)
    {
    }

    /// Sets the value, in place of one that was not taken yet.
    void set(T value)
    {
        m_value = std::move(value);
        m_wake.cancel();
    }

    /// @return whether a value waits to be taken
    bool isSet() const { return m_value.has_value(); }

    /// Waits for a value. The object must outlive the wait.
    boost::asio::awaitable<T> take()
    {
        while (!m_value) {
            boost::system::error_code woken; // a cancelled wait is the wake-up
            m_wake.expires_at(boost::asio::steady_timer::time_point::max());
            co_await m_wake.async_wait(withError(woken));
        }
        T value = std::move(*m_value);
        m_value.reset();
        co_return value;
    }

private:
    boost::asio::steady_timer m_wake;
    std::optional<T> m_value;
};

} // namespace burdock
