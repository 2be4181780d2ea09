// Publishing: one operator's change, checked as a whole and put in force by one conditional update.
//
// Index
//   PublishRequest      what is to be published
//   CatalogChecker      checks the whole configuration that would result
//   WriteOutcome        answers of the Object API to a write
//   ReadConfigHead, ReadConfigEntry, CreateConfigEntry, WriteConfigHead, PublisherAction
//   Publisher           the system; one for each publish
//
// How it works
//   Read the head; refuse if another publish touched the same keys since the operator's base; read
//   the other entries; check the whole; create the new entries; move the head, if it is still the
//   version that was read. A head that moved for other keys: start again from the new head.
//   An answer that is lost: read the head back and look for the publish id in its history.
//   A conditional update that arrives late carries an old version and cannot revert anything.
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

struct PublishRequest
{
    std::string publishId;                                     // unique; the same when sent again
    std::string operatorName;                                  // for history and refusals
    std::map<std::string, std::optional<std::string>> changes; // key -> text; nothing: removed
    bool sentBefore = false;        // an earlier process may have sent this publish id
    std::optional<ConfigHead> base; // what the operator saw; nothing: the head as first read
};

/// Checks the configuration as one whole.
class CatalogChecker
{
public:
    virtual ~CatalogChecker() = default;

    /// @param texts key -> text of every entry that would be in force
    /// @return Done, or the first error with file, path and reason
    virtual Result<Done> check(const std::map<std::string, std::string> &texts) const = 0;
};

// ---- Actions ------------------------------------------------------------------------------------

/// Answer with Publisher::onHeadRead() or onReadFailed().
struct ReadConfigHead
{
    std::uint64_t requestId = 0;
};

/// Answer with Publisher::onEntryRead() or onReadFailed().
struct ReadConfigEntry
{
    std::uint64_t requestId = 0;
    std::string key;
    std::string hash;
};

/// Create if absent. Answer with Publisher::onEntryCreated().
struct CreateConfigEntry
{
    std::uint64_t requestId = 0;
    std::string key;
    std::string hash;
    std::string text;
};

/// Put if the stored version is the expected one; 0: create if absent. Answer with
/// Publisher::onHeadWritten().
struct WriteConfigHead
{
    std::uint64_t requestId = 0;
    std::uint64_t expectedVersion = 0;
    ConfigHead head;
};

using PublisherAction =
        std::variant<ReadConfigHead, ReadConfigEntry, CreateConfigEntry, WriteConfigHead>;

// ---- System -------------------------------------------------------------------------------------

struct PublisherSettings
{
    Duration answerTimeout = std::chrono::seconds(2);     // then a call counts as unanswered
    Duration retryDelay = std::chrono::milliseconds(300); // after a call that failed
    Duration giveUpAfter = std::chrono::seconds(60);      // then the publish ends with an error
};

class Publisher
{
public:
    /// @param checker must live longer than the publisher
    Publisher(PublisherSettings settings, PublishRequest request, const CatalogChecker &checker,
              Instant now);

    /// @param version the object's version; 0 and an empty head if there is none yet
    void onHeadRead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                    Instant now);
    void onEntryRead(std::uint64_t requestId, const std::string &text, Instant now);
    void onReadFailed(std::uint64_t requestId, Instant now);
    void onEntryCreated(std::uint64_t requestId, WriteOutcome outcome, Instant now);
    void onHeadWritten(std::uint64_t requestId, WriteOutcome outcome, Instant now);

    /// Ends calls that were not answered in time, and repeats what failed.
    void tick(Instant now);

    std::vector<PublisherAction> takeActions();

    /// @return nothing while it goes on; then the revision that holds the publish, or
    /// PublishClash, an error of the checker, PlatformUnavailable (it is not in force and never
    /// will be) or PlatformUnknownOutcome (it may be in force, or come into force later)
    const std::optional<Result<std::uint64_t>> &outcome() const { return m_outcome; }

private:
    enum class Step {
        ReadingHead,
        ReadingEntries,
        CreatingEntries,
        MovingHead,
    };

    void enter(Step step, Instant now);
    void sendStep(Instant now);
    void retryLater(Instant now);
    bool isCurrent(std::uint64_t requestId) const;
    std::optional<Error> clashWith(const ConfigHead &head) const;
    bool settleByHead(const ConfigHead &head, std::uint64_t version);
    void checkWhole(Instant now);
    ConfigHead nextHead() const;
    std::optional<std::pair<std::string, std::string>> nextMissingEntry() const;
    void refuse(Error error);
    void finish(Result<std::uint64_t> result);

    PublisherSettings m_settings;
    PublishRequest m_request;
    const CatalogChecker &m_checker;
    Step m_step = Step::ReadingHead;
    std::optional<ConfigHead> m_base;                // what the operator saw
    ConfigHead m_head;                               // as last read
    std::uint64_t m_headVersion = 0;                 // as last read
    std::map<std::string, std::string> m_textByHash; // entries read so far
    std::set<std::string> m_createdKeys;             // entries known to be stored
    std::optional<std::uint64_t> m_unsettledVersion; // expected version of a write without answer
    std::optional<std::uint64_t> m_unsettledBefore;  // the same, before the newest write
    std::uint64_t m_requestId = 0;                   // of the call under way; 0: none
    Instant m_answerDeadline {};
    Instant m_retryAt {};
    Instant m_giveUpDeadline {};
    std::uint64_t m_nextRequestId = 1;
    std::vector<PublisherAction> m_actions;
    std::optional<Result<std::uint64_t>> m_outcome;
};

} // namespace burdock
