#include "decide/publisher.h"

#include <algorithm>
#include <cassert>
#include <utility>

namespace burdock {

namespace {

std::string joinKeys(const std::vector<std::string> &keys)
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
    , m_publishDeadline(now + settings.publishTimeout)
{
    assert(!m_request.publishId.empty() && "PublishRequest::publishId must not be empty");
    enterStep(Step::ReadingHead, now);
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

// Ends the publish with the error. If an earlier head write may still take effect, the error code
// becomes PlatformUnknownOutcome.
void Publisher::refuse(Error error)
{
    if (m_unconfirmedVersion == m_headVersion) {
        error.code = ResultCode::PlatformUnknownOutcome;
        error.message += "; an earlier write of this publish may still take effect";
    }
    finish(std::move(error));
}

// ---- Calls --------------------------------------------------------------------------------------

void Publisher::enterStep(Step step, Instant now)
{
    m_step = step;
    sendCall(now);
}

void Publisher::sendCall(Instant now)
{
    m_requestId = m_nextRequestId++;
    m_responseDeadline = now + m_settings.responseTimeout;
    if (m_step == Step::ReadingHead) {
        m_actions.emplace_back(ReadConfigHead { m_requestId });
        return;
    }
    if (m_step == Step::ReadingEntries) {
        const auto missing = nextMissingEntry();
        if (!missing)
            checkResultingConfig(now);
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
        enterStep(Step::WritingHead, now);
        return;
    }
    m_previousUnconfirmedVersion = std::exchange(m_unconfirmedVersion, m_headVersion);
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
    if (now >= m_publishDeadline) {
        if (m_unconfirmedVersion || m_request.mayHaveBeenSent)
            finish(Error { ResultCode::PlatformUnknownOutcome,
                           "publish " + m_request.publishId
                                   + " was sent, but no response arrived" });
        else
            finish(Error { ResultCode::PlatformUnavailable,
                           "publish " + m_request.publishId
                                   + " timed out before the head was written" });
        return;
    }
    if (m_requestId != 0 && now >= m_responseDeadline) {
        if (m_step == Step::WritingHead)
            m_step = Step::ReadingHead;
        retryLater(now);
    }
    if (m_requestId == 0 && now >= m_retryAt)
        sendCall(now);
}

// ---- Head ---------------------------------------------------------------------------------------

void Publisher::onHeadRead(std::uint64_t requestId, const ConfigHead &head, std::uint64_t version,
                           Instant now)
{
    if (!isCurrent(requestId) || resolveFromHead(head, version))
        return;
    if (!m_base)
        m_base = head;
    m_head = head;
    m_headVersion = version;
    // A head write by an earlier process can take effect from now on only if it expects this
    // version.
    if (std::exchange(m_request.mayHaveBeenSent, false))
        m_unconfirmedVersion = version;
    if (const auto clash = findClash(head)) {
        refuse(*clash);
        return;
    }
    enterStep(Step::ReadingEntries, now);
}

// Determines from the head the outcome of an earlier write of this publish. Returns true if that
// ends the publish.
bool Publisher::resolveFromHead(const ConfigHead &head, std::uint64_t version)
{
    if (const PublishRecord *record = findPublish(head, m_request.publishId)) {
        finish(record->revision);
        return true;
    }
    if (!m_unconfirmedVersion || *m_unconfirmedVersion == version)
        return false; // not sent, or it may still arrive; sending it again has no second effect
    if (!historyReaches(head, m_head.revision)) {
        finish(Error { ResultCode::PlatformUnknownOutcome,
                       "the history no longer reaches back to publish " + m_request.publishId });
        return true;
    }
    // The head has a newer version, so the earlier write can no longer take effect.
    m_unconfirmedVersion.reset();
    return false;
}

std::optional<Error> Publisher::findClash(const ConfigHead &head) const
{
    for (const PublishRecord &record : head.history) {
        if (record.revision <= m_base->revision)
            continue;
        for (const std::string &key : record.touched) {
            if (!m_request.changes.contains(key))
                continue;
            return Error { ResultCode::PublishClash,
                           record.operatorName + " published " + joinKeys(record.touched)
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
                           "another publish changed " + key + " after revision "
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
        m_unconfirmedVersion = m_previousUnconfirmedVersion;
    // A conflict also needs a read of the head: an earlier write of this publish may have caused
    // it.
    m_step = Step::ReadingHead;
    if (outcome == WriteOutcome::Conflict)
        sendCall(now);
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
    sendCall(now);
}

void Publisher::onReadFailed(std::uint64_t requestId, Instant now)
{
    if (isCurrent(requestId))
        retryLater(now);
}

void Publisher::checkResultingConfig(Instant now)
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
        enterStep(Step::CreatingEntries, now);
}

void Publisher::onEntryCreated(std::uint64_t requestId, WriteOutcome outcome, Instant now)
{
    if (!isCurrent(requestId))
        return;
    if (outcome == WriteOutcome::Done || outcome == WriteOutcome::Conflict) {
        for (const auto &[key, text] : m_request.changes) {
            if (!text || m_createdKeys.contains(key))
                continue;
            m_createdKeys.insert(key); // the first missing key is the one in progress
            break;
        }
        sendCall(now);
        return;
    }
    retryLater(now);
}

} // namespace burdock
