#include "control/placementjson.h"

#include <boost/json.hpp>

#include <functional>

namespace burdock {

namespace json = boost::json;

namespace {

/// Runs a reader over a JSON object; anything missing or of the wrong type gives nothing.
template <typename T>
std::optional<T> readObject(const std::string &text,
                            const std::function<T(const json::object &)> &reader)
{
    try {
        return reader(json::parse(text).as_object());
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

std::uint64_t number(const json::object &object, const char *name)
{
    return object.at(name).to_number<std::uint64_t>();
}

std::string text(const json::object &object, const char *name)
{
    return std::string(object.at(name).as_string());
}

EngineOrderKind orderKind(const std::string &name)
{
    for (EngineOrderKind kind : { EngineOrderKind::Load, EngineOrderKind::Unload,
                                  EngineOrderKind::Raise, EngineOrderKind::LoadAdapter }) {
        if (name == engineOrderKindName(kind))
            return kind;
    }
    throw std::invalid_argument("no such order: " + name);
}

json::object orderObject(const EngineOrder &order)
{
    return { { "number", order.number },   { "action", engineOrderKindName(order.kind) },
             { "engine", order.engine },   { "incarnation", order.incarnation },
             { "model", order.model },     { "version", order.version },
             { "adapter", order.adapter }, { "memory_mb", order.memoryMb } };
}

EngineOrder readOrder(const json::object &object)
{
    EngineOrder order;
    order.number = number(object, "number");
    order.kind = orderKind(text(object, "action"));
    order.engine = text(object, "engine");
    order.incarnation = number(object, "incarnation");
    order.model = text(object, "model");
    order.version = text(object, "version");
    order.adapter = text(object, "adapter");
    order.memoryMb = object.at("memory_mb").to_number<std::int64_t>();
    return order;
}

ResidentCopy readCopy(const json::object &object, const std::vector<std::string> &adapters)
{
    ResidentCopy copy;
    copy.model = text(object, "model");
    copy.version = text(object, "version");
    copy.memoryMb = object.at("memory_mb").to_number<std::int64_t>();
    copy.state = object.at("ready").as_bool() ? CopyState::Ready : CopyState::Loading;
    copy.adapters = adapters;
    return copy;
}

LeaseValue readLease(const json::object &object)
{
    LeaseValue value;
    value.holder = text(object, "holder");
    value.incarnation = number(object, "incarnation");
    value.term = number(object, "term");
    value.writeId = number(object, "write_id");
    return value;
}

JournalValue readJournal(const json::object &object)
{
    JournalValue value;
    value.term = number(object, "term");
    value.writeCounter = number(object, "write_counter");
    value.catalogRevision = number(object, "catalog_revision");
    for (const json::value &order : object.at("orders").as_array())
        value.orders.push_back(readOrder(order.as_object()));
    for (const json::value &engine : object.at("retired").as_array())
        value.retired.push_back(
                { text(engine.as_object(), "engine"), number(engine.as_object(), "incarnation") });
    return value;
}

EngineState readEngineState(const json::object &object)
{
    EngineState state;
    state.incarnation = number(object, "incarnation");
    state.sequence = number(object, "sequence");
    state.checksFencing = object.at("checks_fencing").as_bool();
    state.memoryMb = object.at("memory_total_mb").to_number<std::int64_t>();
    state.capacity = object.at("capacity").to_number<double>();
    state.highestNumber = number(object, "highest_number");
    for (const json::value &order : object.at("seen_orders").as_array())
        state.seenOrders.push_back(order.to_number<std::uint64_t>());
    std::vector<std::string> adapters;
    for (const json::value &adapter : object.at("adapters").as_array())
        adapters.emplace_back(adapter.as_string());
    for (const json::value &copy : object.at("resident").as_array())
        state.copies.push_back(readCopy(copy.as_object(), adapters));
    return state;
}

} // namespace

std::string leaseToJson(const LeaseValue &value)
{
    const json::value object = { { "holder", value.holder },
                                 { "incarnation", value.incarnation },
                                 { "term", value.term },
                                 { "write_id", value.writeId } };
    return json::serialize(object);
}

std::optional<LeaseValue> leaseFromJson(const std::string &text)
{
    return readObject<LeaseValue>(text, readLease);
}

std::string journalToJson(const JournalValue &value)
{
    json::array orders;
    for (const EngineOrder &order : value.orders)
        orders.push_back(orderObject(order));
    json::array retired;
    for (const RetiredEngine &engine : value.retired)
        retired.push_back({ { "engine", engine.engine }, { "incarnation", engine.incarnation } });
    const json::value object = { { "term", value.term },
                                 { "write_counter", value.writeCounter },
                                 { "catalog_revision", value.catalogRevision },
                                 { "orders", std::move(orders) },
                                 { "retired", std::move(retired) } };
    return json::serialize(object);
}

std::optional<JournalValue> journalFromJson(const std::string &text)
{
    return readObject<JournalValue>(text, readJournal);
}

std::string orderToJson(const EngineOrder &order)
{
    return json::serialize(orderObject(order));
}

std::optional<EngineState> engineStateFromJson(const std::string &text)
{
    return readObject<EngineState>(text, readEngineState);
}

} // namespace burdock
