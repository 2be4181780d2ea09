#include "decide/publisher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

std::string listOf(const std::vector<std::string> &keys)
{
    std::string text;
    for (const std::string &key : keys)
        text += (text.empty() ? "" : ", ") + key;
    return text;
}

} // namespace

Publisher::Publisher(PublisherSettings settings, PublishRequest request,
                     const CatalogChecker &checker, Instant now)
    : m_settings(settings)
    , m_request(std::move(request))
    , m_checker(checker)
    , m_base(m_request.base)
    , m_giveUpDeadline(now + settings.giveUpAfter)
{
    assert(!m_request.publishId.empty() && "give each publish an id of its own");
    enter(Step::ReadingHead, now);
}

std::vector<PublisherAction> Publisher::takeActions()
{
    return std::exchange(m_actions, {});
}

bool Publisher::isCurrent(std::uint64_t requestId) const
{
    return !m_outcome && requestId == m_requestId;
}

void Publisher::finish(Result<std::uint64_t> result)
{
    m_requestId = 0;
    m_outcome = std::move(result);
}

// Refuses for good, unless a write that is under way may still put the publish in force.
void Publisher::refuse(Error error)
{
    if (m_unsettledVersion == m_headVersion) {
        error.code = ResultCode::PlatformUnknownOutcome;
        error.message += "; but an earlier write of this publish may still arrive";
    }
    finish(std::move(error));
}

// ---- Calls --------------------------------------------------------------------------------------

void Publisher::enter(Step step, Instant now)
{
    m_step = step;
    sendStep(now);
}

void Publisher::sendStep(Instant now)
{
    m_requestId = m_nextRequestId++;
    m_answerDeadline = now + m_settings.answerTimeout;
    if (m_step == Step::ReadingHead) {
        m_actions.emplace_back(ReadConfigHead { m_requestId });
        return;
    }
    if (m_step == Step::ReadingEntries) {
        const auto missing = nextMissingEntry();
        if (!missing)
            checkWhole(now);
        else
            m_actions.emplace_back(
                    ReadConfigEntry { m_requestId, missing->first, missing->second });
        return;
    }
    if (m_step == Step::CreatingEntries) {
        for (const auto &[key, text] : m_request.changes) {
            if (!text || m_createdKeys.contains(key))
                continue;
            m_actions.emplace_back(
                    CreateConfigEntry { m_requestId, key, contentHash(*text), *text });
            return;
        }
        enter(Step::MovingHead, now);
        return;
    }
    m_unsettledBefore = std::exchange(m_unsettledVersion, m_headVersion);
    m_actions.emplace_back(WriteConfigHead { m_requestId, m_headVersion, nextHead() });
}

void Publisher::retryLater(Instant now)
{
    m_requestId = 0;
    m_retryAt = now + m_settings.retryDelay;
}

void Publisher::tick(Instant now)
{
    if (m_outcome)
        return;
    if (now >= m_giveUpDeadline) {
        if (m_unsettledVersion || m_request.sentBefore)
            finish(Error { ResultCode::PlatformUnknownOutcome,
                           "publish " + m_request.publishId + " was sent and no answer came" });
        else
            finish(Error { ResultCode::PlatformUnavailable,
                           "publish " + m_request.publishId + " was not carried out" });
        return;
    }
    if (m_requestId != 0 && now >= m_answerDeadline) {
        if (m_step == Step::MovingHead)
            m_step = Step::ReadingHead;
        retryLater(now);
    }
    if (m_requestId == 0 && now >= m_retryAt)
        sendStep(now);
}

// ---- Head ---------------------------------------------------------------------------------------

void Publisher::onHeadRead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                           Instant now)
{
    if (!isCurrent(requestId) || settleByHead(head, version))
        return;
    if (!m_base)
        m_base = head;
    m_head = head;
    m_headVersion = version;
    // A write of an earlier process can now arrive only if it expects this very version.
    if (std::exchange(m_request.sentBefore, false))
        m_unsettledVersion = version;
    if (const auto clash = clashWith(head)) {
        refuse(*clash);
        return;
    }
    enter(Step::ReadingEntries, now);
}

// Finds out from the head what became of an earlier write of this publish.
bool Publisher::settleByHead(const ConfigHead &head, std::uint64_t version)
{
    if (const PublishRecord *record = findPublish(head, m_request.publishId)) {
        finish(record->revision);
        return true;
    }
    if (!m_unsettledVersion || *m_unsettledVersion == version)
        return false; // not sent, or it may still arrive; sending it again is harmless
    if (!historyReaches(head, m_head.revision)) {
        finish(Error { ResultCode::PlatformUnknownOutcome,
                       "the history no longer reaches back to publish " + m_request.publishId });
        return true;
    }
    m_unsettledVersion.reset(); // the head moved on without it; its version is gone for good
    return false;
}

std::optional<Error> Publisher::clashWith(const ConfigHead &head) const
{
    for (const PublishRecord &record : head.history) {
        if (record.revision <= m_base->revision)
            continue;
        for (const std::string &key : record.touched) {
            if (!m_request.changes.contains(key))
                continue;
            return Error { ResultCode::PublishClash,
                           record.operatorName + " published " + listOf(record.touched)
                                   + " as revision " + std::to_string(record.revision)
                                   + " after revision " + std::to_string(m_base->revision)
                                   + ", which this publish of " + key + " started from" };
        }
    }
    for (const auto &[key, text] : m_request.changes) {
        const auto before = m_base->entries.find(key);
        const auto present = head.entries.find(key);
        const std::string old = before == m_base->entries.end() ? "" : before->second;
        const std::string current = present == head.entries.end() ? "" : present->second;
        if (old != current)
            return Error { ResultCode::PublishClash,
                           "somebody published " + key + " after revision "
                                   + std::to_string(m_base->revision) };
    }
    return std::nullopt;
}

ConfigHead Publisher::nextHead() const
{
    ConfigHead next = m_head;
    PublishRecord record;
    record.revision = ++next.revision;
    record.publishId = m_request.publishId;
    record.operatorName = m_request.operatorName;
    next.publishId = m_request.publishId;
    for (const auto &[key, text] : m_request.changes) {
        record.touched.push_back(key);
        if (text)
            next.entries[key] = contentHash(*text);
        else
            next.entries.erase(key);
    }
    appendRecord(next, std::move(record));
    return next;
}

void Publisher::onHeadWritten(std::uint64_t requestId, WriteOutcome outcome, Instant now)
{
    if (!isCurrent(requestId))
        return;
    if (outcome == WriteOutcome::Done) {
        finish(m_head.revision + 1);
        return;
    }
    if (outcome == WriteOutcome::Unavailable)
        m_unsettledVersion = m_unsettledBefore;
    // Also a conflict is looked into: the version may be that of this publish's earlier write.
    m_step = Step::ReadingHead;
    if (outcome == WriteOutcome::Conflict)
        sendStep(now);
    else
        retryLater(now);
}

// ---- Entries ------------------------------------------------------------------------------------

std::optional<std::pair<std::string, std::string>> Publisher::nextMissingEntry() const
{
    for (const auto &[key, hash] : m_head.entries) {
        if (!m_request.changes.contains(key) && !m_textByHash.contains(hash))
            return std::make_pair(key, hash);
    }
    return std::nullopt;
}

void Publisher::onEntryRead(std::uint64_t requestId, const std::string &text, Instant now)
{
    if (!isCurrent(requestId))
        return;
    const auto missing = nextMissingEntry();
    if (!missing || contentHash(text) != missing->second) {
        retryLater(now);
        return;
    }
    m_textByHash[missing->second] = text;
    sendStep(now);
}

void Publisher::onReadFailed(std::uint64_t requestId, Instant now)
{
    if (isCurrent(requestId))
        retryLater(now);
}

void Publisher::checkWhole(Instant now)
{
    std::map<std::string, std::string> texts;
    for (const auto &[key, hash] : m_head.entries) {
        if (!m_request.changes.contains(key))
            texts[key] = m_textByHash.at(hash);
    }
    for (const auto &[key, text] : m_request.changes) {
        if (text)
            texts[key] = *text;
    }
    const Result<Done> result = m_checker.check(texts);
    if (!isOk(result))
        refuse(errorOf(result));
    else
        enter(Step::CreatingEntries, now);
}

void Publisher::onEntryCreated(std::uint64_t requestId, WriteOutcome outcome, Instant now)
{
    if (!isCurrent(requestId))
        return;
    if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Conflict) {
        for (const auto &[key, text] : m_request.changes) {
            if (!text || m_createdKeys.contains(key))
                continue;
            m_createdKeys.insert(key); // the first that was missing is the one under way
            break;
        }
        sendStep(now);
        return;
    }
    retryLater(now);
}

} // namespace burdock
