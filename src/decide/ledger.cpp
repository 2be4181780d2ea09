#include "decide/ledger.h"

#include "decide/ledgershard.h"

#include <cassert>
#include <utility>

namespace burdock {

Ledger::Ledger(NodeIdentity self, LedgerSettings settings)
    : m_context(std::make_unique<LedgerContext>())
{
    assert(settings.shards > 0 && "LedgerSettings::shards must be at least 1");
    m_context->settings = settings;
    m_context->self = std::move(self);
    for (unsigned shard = 0; shard < settings.shards; ++shard)
        m_shards.push_back(std::make_unique<LedgerShard>(shard, *m_context));
}

Ledger::~Ledger() = default;

void Ledger::onLiveNodes(std::vector<NodeIdentity> live, Instant now)
{
    m_context->live = { live.begin(), live.end() };
    m_context->names.clear();
    for (const NodeIdentity &node : m_context->live) {
        if (m_context->names.empty() || m_context->names.back() != node.node)
            m_context->names.push_back(node.node);
    }
    for (const auto &shard : m_shards)
        shard->onLiveNodes(now);
}

void Ledger::onAdmit(const Admit &message, Instant now)
{
    shardOf(message.order).onAdmit(message, now);
}

void Ledger::onOutcome(const Outcome &message, Instant now)
{
    shardOf(message.order).onOutcome(message, now);
}

void Ledger::onRelease(const Release &message, Instant /*now*/)
{
    shardOf(message.order).onRelease(message);
}

void Ledger::onHead(std::uint64_t call, unsigned shard, ObjectStatus status, std::uint64_t version,
                    const LedgerHead &head, Instant now)
{
    m_shards.at(shard)->onHead(call, status, version, head, now);
}

void Ledger::onSegment(std::uint64_t call, unsigned shard, ObjectStatus status,
                       const std::vector<LedgerRecord> &records, Instant now)
{
    m_shards.at(shard)->onSegment(call, status, records, now);
}

void Ledger::onSegmentList(std::uint64_t call, unsigned shard, ObjectStatus status,
                           const std::vector<std::string> &names, Instant /*now*/)
{
    m_shards.at(shard)->onSegmentList(call, status, names);
}

void Ledger::onWritten(std::uint64_t call, unsigned shard, ObjectStatus status,
                       std::uint64_t version, Instant now)
{
    m_shards.at(shard)->onWritten(call, status, version, now);
}

void Ledger::tick(Instant now, std::chrono::seconds wallClock)
{
    m_context->wallClock = wallClock;
    for (const auto &shard : m_shards)
        shard->tick(now);
}

std::vector<LedgerAction> Ledger::takeActions()
{
    return std::exchange(m_context->actions, {});
}

std::vector<LedgerShardRow> Ledger::shardRows() const
{
    std::vector<LedgerShardRow> rows;
    for (const auto &shard : m_shards)
        rows.push_back(shard->row());
    return rows;
}

const LedgerRecord *Ledger::record(const OrderKey &order) const
{
    return shardOf(order).record(order);
}

LedgerShard &Ledger::shardOf(const OrderKey &order) const
{
    return *m_shards[ledgerShardOf(order, m_context->settings.shards)];
}

} // namespace burdock
