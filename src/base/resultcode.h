// The numbered result codes. docs/RESULT-CODES.md explains each to operators and callers.
//
// Index
//   ResultCode        the codes
//   ResultCodeRow     name, HTTP status and exit code of one code
//   resultCodeRows    the whole table
//   describe          the row of one code
#pragma once

#include <span>
#include <string_view>

namespace burdock {

// ---- Codes --------------------------------------------------------------------------------------
// 1xx: settings and files, 2xx: a caller's request, 3xx: refusals, 4xx: upstreams,
// 5xx: the platform, 6xx: operators' commands.

enum class ResultCode : int {
    Ok = 0,

    SettingsUnreadable = 101, // the file cannot be opened or is no JSON
    SettingsUnknownKey = 102, // a key that the format does not have
    SettingsWrongType = 103,  // a value of another type than the format asks for
    SettingsOutOfRange = 104, // a value outside its bounds
    SettingsMissingKey = 105, // a required key is absent
    SettingsClash = 106,      // two entries that exclude each other

    RequestMalformed = 201, // not valid HTTP or JSON
    RequestTooLarge = 202,  // header or body above the limit
    RequestTooSlow = 203,   // the sender did not finish in time
    ServiceUnknown = 204,   // no such service is published
    RouteUnknown = 205,     // the service has no such route
    ModelUnknown = 206,     // no such model, adapter or version is published
    KeyMissing = 207,       // an at-most-once route was called without Idempotency-Key
    KeyReused = 208,        // the key was used before with another request

    RefusedOverload = 301,    // not run: the queue is full or the deadline cannot be met
    RefusedNoUpstream = 302,  // not run: no upstream is reachable
    RefusedDraining = 303,    // not run: this node is stopping
    RefusedQuarantined = 304, // given up: the request crashed each upstream that ran it
    RefusedLedger = 305,      // not run: the order could not be recorded
    OrderInProgress = 306,    // the same order is being run; ask again later

    UpstreamFailed = 401,  // the upstream failed; a retry is allowed
    OutcomeUnknown = 402,  // the order was sent and no answer came
    AnswerTruncated = 403, // the stream ended early and could not be resumed

    PlatformUnavailable = 501,    // the Object API does not answer
    PlatformConflict = 502,       // another writer changed the object first
    PlatformRateLimited = 503,    // the Object API refused the call for its rate
    PlatformNotFound = 504,       // the object does not exist
    PlatformUnknownOutcome = 505, // a write was sent and no answer came

    PublishClash = 601,      // another operator published the same service first
    PublishNotInForce = 602, // accepted, but not yet in force on every node
    UsageError = 603,        // the command line is wrong
    NodeUnreachable = 604,   // the named node does not answer
    Internal = 699,          // a fault of burdockreel itself
};

// ---- Table --------------------------------------------------------------------------------------

struct ResultCodeRow
{
    ResultCode code = ResultCode::Internal; // the code
    std::string_view name;                  // its stable name in logs and JSON
    int httpStatus = 500;                   // status of an HTTP answer that carries it
    int exitCode = 1;                       // exit code of a program that ends with it
    std::string_view meaning;               // one line for operators
};

/// @return every code, in ascending order
std::span<const ResultCodeRow> resultCodeRows();

/// @param code any code of the enumeration
/// @return its row; asserts that the table has one
const ResultCodeRow &describe(ResultCode code);

} // namespace burdock
