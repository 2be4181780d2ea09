// Publishing: checks the change of one operator against the whole configuration and puts it in
// force with one conditional update.
//
// Index
//   PublishRequest      the change to publish
//   CatalogChecker      checks the whole configuration that would result
//   ReadConfigHead, ReadConfigEntry, CreateConfigEntry, WriteConfigHead, PublisherAction
//                       calls to the Object API
//   PublisherSettings   timeouts and retry delay
//   Publisher           decision module; one instance per publish
//
// How it works
//   1. Read the head. Refuse if another publish changed the same keys since the operator's base.
//   2. Read the texts of the unchanged entries and check the whole configuration.
//   3. Create the new entries.
//   4. Write the head on condition that its version is still the one that was read.
//   If the head has changed in the meantime for other keys, start again from the new head.
//   If the response to the write is lost, read the head and look for the publish id in its history.
//   A conditional update that arrives late carries an old version and cannot revert anything.
//
// How to use it
//   Create a Publisher, perform what takeActions() returns, pass each response to the function that
//   the action names, and call tick() regularly until outcome() has a value.
#pragma once

#include "base/instant.h"
#include "base/result.h"
#include "decide/confighead.h"
#include "decide/writeoutcome.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace burdock {

// ---- Request ------------------------------------------------------------------------------------

/// The change of one operator.
struct PublishRequest
{
    std::string publishId;    // unique per publish; a repeated publish keeps it
    std::string operatorName; // name for the history and for error messages
    // Key -> new text; nullopt removes the key.
    std::map<std::string, std::optional<std::string>> changes;
    bool mayHaveBeenSent = false; // an earlier process may have sent this publish
    // Head that the change is based on; nullopt: the first head read.
    std::optional<ConfigHead> base;
};

/// Checks the configuration that a publish would put in force.
class CatalogChecker
{
public:
    virtual ~CatalogChecker() = default;

    /// @param texts key -> text of every entry that would be in force
    /// @return Done, or the first error found, with file, path and reason
    virtual Result<Done> check(const std::map<std::string, std::string> &texts) const = 0;
};

// ---- Actions ------------------------------------------------------------------------------------

/// Read `config/head`. Report the result to Publisher::onHeadRead() or onReadFailed().
struct ReadConfigHead
{
    std::uint64_t requestId = 0;
};

/// Read the text of an entry. Report the result to Publisher::onEntryRead() or onReadFailed().
struct ReadConfigEntry
{
    std::uint64_t requestId = 0;
    std::string key;
    std::string hash;
};

/// Create an entry if it is absent. Report the outcome to Publisher::onEntryCreated().
struct CreateConfigEntry
{
    std::uint64_t requestId = 0;
    std::string key;
    std::string hash;
    std::string text;
};

/// Write `config/head` if its stored version equals expectedVersion; 0: create it if absent. Report
/// the outcome to Publisher::onHeadWritten().
struct WriteConfigHead
{
    std::uint64_t requestId = 0;
    std::uint64_t expectedVersion = 0;
    ConfigHead head;
};

using PublisherAction =
        std::variant<ReadConfigHead, ReadConfigEntry, CreateConfigEntry, WriteConfigHead>;

// ---- Publisher ----------------------------------------------------------------------------------

struct PublisherSettings
{
    Duration responseTimeout = std::chrono::seconds(2);   // then a call counts as failed
    Duration retryDelay = std::chrono::milliseconds(300); // wait after a failed call
    Duration publishTimeout = std::chrono::seconds(60);   // then the publish fails
};

/// Carries out one publish. Does no I/O: the caller performs its actions and passes time in.
class Publisher
{
public:
    /// @param checker must outlive the publisher
    Publisher(PublisherSettings settings, PublishRequest request, const CatalogChecker &checker,
              Instant now);

    /// Processes the stored head.
    /// @param version version of the stored object; 0 with an empty head if it does not exist
    void onHeadRead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                    Instant now);
    /// Processes the text of the entry that ReadConfigEntry named.
    void onEntryRead(std::uint64_t requestId, const std::string &text, Instant now);
    /// Schedules a retry of a failed read.
    void onReadFailed(std::uint64_t requestId, Instant now);
    /// Processes the outcome of CreateConfigEntry. A conflict means that the entry exists.
    void onEntryCreated(std::uint64_t requestId, WriteOutcome outcome, Instant now);
    /// Processes the outcome of WriteConfigHead.
    void onHeadWritten(std::uint64_t requestId, WriteOutcome outcome, Instant now);

    /// Expires calls whose response is overdue, retries failed calls and ends the publish at
    /// publishTimeout.
    void tick(Instant now);

    /// @return the actions added since the previous call
    std::vector<PublisherAction> takeActions();

    /// @return nullopt while the publish is in progress; then the revision that contains it, or an
    /// error: PublishClash, an error from the checker, PlatformUnavailable (the publish is not in
    /// force and never will be) or PlatformUnknownOutcome (it may be in force or come into force
    /// later)
    const std::optional<Result<std::uint64_t>> &outcome() const { return m_outcome; }

private:
    enum class Step {
        ReadingHead,
        ReadingEntries,
        CreatingEntries,
        WritingHead,
    };

    void enterStep(Step step, Instant now);
    void sendCall(Instant now);
    void retryLater(Instant now);
    bool isCurrent(std::uint64_t requestId) const;
    std::optional<Error> findClash(const ConfigHead &head) const;
    bool resolveFromHead(const ConfigHead &head, std::uint64_t version);
    void checkResultingConfig(Instant now);
    ConfigHead nextHead() const;
    std::optional<std::pair<std::string, std::string>> nextMissingEntry() const;
    void refuse(Error error);
    void finish(Result<std::uint64_t> result);

    PublisherSettings m_settings;
    PublishRequest m_request;
    const CatalogChecker &m_checker;
    Step m_step = Step::ReadingHead;
    std::optional<ConfigHead> m_base;                // head that the change is based on
    ConfigHead m_head;                               // last head read
    std::uint64_t m_headVersion = 0;                 // object version of m_head
    std::map<std::string, std::string> m_textByHash; // content hash -> text, entries read so far
    std::set<std::string> m_createdKeys; // keys of the changed entries known to be stored
    // Expected version of a head write whose outcome is unknown.
    std::optional<std::uint64_t> m_unconfirmedVersion;
    // Value of m_unconfirmedVersion before the newest write.
    std::optional<std::uint64_t> m_previousUnconfirmedVersion;
    std::uint64_t m_requestId = 0; // call in progress; 0: none
    Instant m_responseDeadline {};
    Instant m_retryAt {};
    Instant m_publishDeadline {};
    std::uint64_t m_nextRequestId = 1;
    std::vector<PublisherAction> m_actions;
    std::optional<Result<std::uint64_t>> m_outcome;
};

} // namespace burdock
