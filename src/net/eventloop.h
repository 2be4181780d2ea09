// An event loop whose work ends before the objects that the work refers to.
//
//   EventLoop io;
//   Program program(io);   // its coroutines refer to it
//   WorkEnd workEnd(io);   // so they are destroyed first, whatever they wait for
//   io.run();
//
// An io_context owns the coroutines that are suspended on it, and destroys them at its own end. It
// outlives the sockets and timers that use it, and so everything that the coroutines refer to,
// while their local objects may have something to do there in their destructors.
#pragma once

#include <boost/asio/io_context.hpp>

namespace burdock {

/// Runs on one thread.
class EventLoop : public boost::asio::io_context
{
public:
    EventLoop()
        : io_context(1)
    {
    }

    /// Destroys all that waits on the loop, without running it. Nothing runs on the loop any more;
    /// sockets and timers that use it may still be closed and destroyed.
    void destroyWork() { shutdown(); }
};

/// Destroys a loop's work at its own end. Declare it after all that the work refers to.
class WorkEnd
{
public:
    explicit WorkEnd(EventLoop &loop)
        : m_loop(loop)
    {
    }
    ~WorkEnd() { m_loop.destroyWork(); }
    WorkEnd(const WorkEnd &) = delete;
    WorkEnd &operator=(const WorkEnd &) = delete;

private:
    EventLoop &m_loop;
};

} // namespace burdock
