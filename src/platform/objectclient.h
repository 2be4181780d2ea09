// A client of the platform's Object API and VM list, over HTTP.
//
// Index
//   StoredObject, ObjectChange, VmEntry   what the platform answers
//   WriteOutcome, WriteAnswer             what became of a write
//   ObjectClient                          the calls; each counts against the platform's rate
//
// A write whose answer did not come is WriteOutcome::Unknown: it may have taken effect, or may do
// so later. Only reading back, or a conditional write on a newer version, settles it.
#pragma once

#include "base/instant.h"
#include "base/result.h"
#include "decide/writeoutcome.h"
#include "net/endpoint.h"
#include "net/httpclient.h"

#include <boost/asio/awaitable.hpp>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace burdock {

// ---- Answers ------------------------------------------------------------------------------------

struct StoredObject
{
    std::string key;           // e.g. "config/head"
    std::string value;         // up to 1 MB
    std::uint64_t version = 0; // never repeats, also after deletion
};

struct ObjectChange
{
    std::string key;           // which object
    std::uint64_t version = 0; // its version now
    bool deleted = false;      // whether it is gone
};

struct ObjectChanges
{
    std::uint64_t sequence = 0;        // give it to the next watch
    std::vector<ObjectChange> changes; // oldest first
};

enum class VmState {
    Live,    // in service
    Leaving, // about to stop
};

struct VmEntry
{
    std::string name;             // unique
    Endpoint endpoint;            // where its service listens
    std::string group;            // e.g. "model-pool"; "entry" for the system's own VMs
    std::string availabilityZone; // where it runs
    VmState state = VmState::Live;
};

struct WriteAnswer
{
    WriteOutcome outcome = WriteOutcome::Unknown;
    std::uint64_t version = 0; // Done: the new version; Conflict: the one that is there, 0 for none
};

// ---- Client -------------------------------------------------------------------------------------

class ObjectClient
{
public:
    /// @param http makes the calls; must outlive the client
    /// @param platform where the Object API listens
    /// @param callTimeout after it a call has failed
    ObjectClient(HttpClient &http, Endpoint platform,
                 std::chrono::milliseconds callTimeout = std::chrono::milliseconds(2'000));

    /// @return the object, PlatformNotFound or PlatformUnavailable
    boost::asio::awaitable<Result<StoredObject>> read(std::string key);

    /// Writes an object if its version is the expected one.
    /// @param key which object
    /// @param value its new value
    /// @param expectedVersion the version last seen; 0 to create it if it is absent
    boost::asio::awaitable<WriteAnswer> write(std::string key, std::string value,
                                              std::uint64_t expectedVersion);

    /// Deletes an object if its version is the expected one.
    boost::asio::awaitable<WriteAnswer> remove(std::string key, std::uint64_t expectedVersion);

    /// @return keys and versions of all objects whose key begins with the prefix
    boost::asio::awaitable<Result<std::vector<ObjectChange>>> list(std::string prefix);

    /// Waits for changes.
    /// @param prefix which keys
    /// @param afterSequence the sequence of the last answer; 0 at first
    /// @param wait how long the platform may hold the call
    /// @return the changes since; none when the wait ended without any
    boost::asio::awaitable<Result<ObjectChanges>>
    watch(std::string prefix, std::uint64_t afterSequence, std::chrono::milliseconds wait);

    /// @return the VM list, as the platform sees it
    boost::asio::awaitable<Result<std::vector<VmEntry>>> vms();

    /// @return calls made so far; each counts against the platform's rate
    std::uint64_t calls() const { return m_calls; }

private:
    boost::asio::awaitable<CallResult<HttpResponse>> call(HttpRequest request,
                                                          std::chrono::milliseconds extraTime = {});
    boost::asio::awaitable<WriteAnswer> conditionalCall(HttpRequest request,
                                                        std::uint64_t expectedVersion);

    HttpClient &m_http;
    Endpoint m_platform;
    std::chrono::milliseconds m_callTimeout;
    std::uint64_t m_calls = 0;
};

} // namespace burdock
