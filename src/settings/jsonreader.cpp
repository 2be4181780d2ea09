#include "settings/jsonreader.h"

#include <boost/json.hpp>

#include <algorithm>
#include <cctype>
#include <cmath>
#include <sstream>

namespace burdock {

namespace json = boost::json;

namespace {

// ---- Wording ------------------------------------------------------------------------------------

std::string kindName(const json::value &value)
{
    switch (value.kind()) {
    case json::kind::null:
        return "null";
    case json::kind::bool_:
        return "true or false";
    case json::kind::int64:
    case json::kind::uint64:
        return "a whole number";
    case json::kind::double_:
        return "a number with a fraction or exponent";
    case json::kind::string:
        return "a text";
    case json::kind::array:
        return "a list";
    case json::kind::object:
        return "an object";
    }
    return "a value";
}

std::string wrongType(const std::string &wanted, const json::value &value)
{
    return "expected " + wanted + ", found " + kindName(value);
}

/// Boost.JSON may read a fraction one unit in the last place off. Rounding to a fixed step makes
/// reading and writing a value any number of times give the same value and the same text.
double roundToSteps(double value)
{
    return std::round(value * NumberStepsPerUnit) / NumberStepsPerUnit;
}

std::string shortNumber(double value)
{
    std::ostringstream text;
    text << value;
    return text.str();
}

bool isPlainKey(std::string_view key)
{
    return !key.empty() && std::all_of(key.begin(), key.end(), [](unsigned char each) {
        return std::isalnum(each) != 0 || each == '_' || each == '-';
    });
}

/// Appends a key to a path. An unusual key is quoted, so that a path always stays on one line.
std::string joinPath(const std::string &path, std::string_view key)
{
    if (isPlainKey(key))
        return path + "." + std::string(key);
    return path + "[" + json::serialize(json::string(key)) + "]";
}

} // namespace

// ---- Problems -----------------------------------------------------------------------------------

Problems::Problems(std::string fileName)
    : m_fileName(std::move(fileName))
{
}

void Problems::add(ResultCode code, const std::string &path, const std::string &reason)
{
    m_errors.push_back(Error { code, m_fileName + ": " + path + ": " + reason });
}

Error joinErrors(const std::vector<Error> &errors)
{
    assert(!errors.empty() && "call joinErrors() only when there is an error");
    Error joined = errors.front();
    for (std::size_t i = 1; i < errors.size(); ++i)
        joined.message += "\n" + errors[i].message;
    return joined;
}

// ---- Reading ------------------------------------------------------------------------------------

JsonReader::JsonReader(const json::value &value, std::string path, Problems &problems)
    : m_value(value)
    , m_path(std::move(path))
    , m_problems(problems)
{
}

bool JsonReader::isText() const
{
    return m_value.is_string();
}

bool JsonReader::isObject() const
{
    return m_value.is_object();
}

void JsonReader::refuse(ResultCode code, const std::string &reason) const
{
    m_problems.add(code, m_path, reason);
}

std::string JsonReader::asText() const
{
    if (!m_value.is_string()) {
        refuse(ResultCode::SettingsWrongType, wrongType("a text", m_value));
        return {};
    }
    return std::string(m_value.get_string());
}

std::string JsonReader::pathOf(const std::string &key) const
{
    return joinPath(m_path, key);
}

void JsonReader::refuseMember(const std::string &key, ResultCode code,
                              const std::string &reason) const
{
    m_problems.add(code, pathOf(key), reason);
}

const json::value *JsonReader::find(const std::string &key)
{
    m_known.insert(key);
    const json::object *members = m_value.if_object();
    return members == nullptr ? nullptr : members->if_contains(key);
}

const json::value *JsonReader::require(const std::string &key)
{
    const json::value *value = find(key);
    if (value == nullptr && m_value.is_object())
        refuseMember(key, ResultCode::SettingsMissingKey, "this key is required");
    return value;
}

bool JsonReader::has(const std::string &key)
{
    return find(key) != nullptr;
}

std::string JsonReader::text(const std::string &key, const std::string &fallback,
                             const TextRule &rule)
{
    const json::value *value = find(key);
    return value == nullptr ? fallback : textAt(*value, key, fallback, rule);
}

std::string JsonReader::requireText(const std::string &key, const TextRule &rule)
{
    const json::value *value = require(key);
    return value == nullptr ? std::string() : textAt(*value, key, {}, rule);
}

std::string JsonReader::textAt(const json::value &value, const std::string &key,
                               const std::string &fallback, const TextRule &rule)
{
    if (!value.is_string()) {
        refuseMember(key, ResultCode::SettingsWrongType, wrongType("a text", value));
        return fallback;
    }
    std::string found(value.get_string());
    const std::string reason = rule(found);
    if (reason.empty())
        return found;
    refuseMember(key, ResultCode::SettingsOutOfRange, reason);
    return fallback;
}

std::int64_t JsonReader::integer(const std::string &key, std::int64_t fallback,
                                 IntegerBounds bounds)
{
    const json::value *value = find(key);
    return value == nullptr ? fallback : integerAt(*value, key, fallback, bounds);
}

std::int64_t JsonReader::requireInteger(const std::string &key, IntegerBounds bounds)
{
    const json::value *value = require(key);
    return value == nullptr ? bounds.lowest : integerAt(*value, key, bounds.lowest, bounds);
}

std::int64_t JsonReader::integerAt(const json::value &value, const std::string &key,
                                   std::int64_t fallback, IntegerBounds bounds)
{
    if (!value.is_int64() && !value.is_uint64()) {
        refuseMember(key, ResultCode::SettingsWrongType, wrongType("a whole number", value));
        return fallback;
    }
    // A number of kind uint64 is above every int64, so it is above every bound.
    const bool within = value.is_int64() && value.get_int64() >= bounds.lowest
            && value.get_int64() <= bounds.highest;
    if (within)
        return value.get_int64();
    refuseMember(key, ResultCode::SettingsOutOfRange,
                 json::serialize(value) + " is outside " + std::to_string(bounds.lowest) + " to "
                         + std::to_string(bounds.highest));
    return fallback;
}

double JsonReader::number(const std::string &key, double fallback, NumberBounds bounds)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return fallback;
    if (!value->is_number()) {
        refuseMember(key, ResultCode::SettingsWrongType, wrongType("a number", *value));
        return fallback;
    }
    const double found = roundToSteps(value->to_number<double>());
    if (found >= bounds.lowest && found <= bounds.highest)
        return found;
    refuseMember(key, ResultCode::SettingsOutOfRange,
                 shortNumber(found) + " is outside " + shortNumber(bounds.lowest) + " to "
                         + shortNumber(bounds.highest));
    return fallback;
}

void JsonReader::object(const std::string &key, const std::function<void(JsonReader &)> &visit)
{
    const json::value *value = find(key);
    if (value == nullptr)
        return;
    JsonReader member(*value, pathOf(key), m_problems);
    visit(member);
    member.finish();
}

void JsonReader::array(const std::string &key, const std::function<void(JsonReader &)> &visit)
{
    const json::value *value = find(key);
    if (value != nullptr)
        arrayAt(*value, key, visit);
}

void JsonReader::requireArray(const std::string &key,
                              const std::function<void(JsonReader &)> &visit)
{
    const json::value *value = require(key);
    if (value != nullptr)
        arrayAt(*value, key, visit);
}

void JsonReader::arrayAt(const json::value &value, const std::string &key,
                         const std::function<void(JsonReader &)> &visit)
{
    if (!value.is_array()) {
        refuseMember(key, ResultCode::SettingsWrongType, wrongType("a list", value));
        return;
    }
    std::size_t index = 0;
    for (const json::value &element : value.get_array()) {
        JsonReader reader(element, pathOf(key) + "[" + std::to_string(index) + "]", m_problems);
        visit(reader);
        ++index;
    }
}

void JsonReader::finish()
{
    const json::object *members = m_value.if_object();
    if (members == nullptr) {
        refuse(ResultCode::SettingsWrongType, wrongType("an object", m_value));
        return;
    }
    std::string known;
    for (const std::string &key : m_known)
        known += (known.empty() ? "" : ", ") + key;
    for (const auto &member : *members) {
        const std::string key(member.key());
        if (!m_known.contains(key)) {
            refuseMember(key, ResultCode::SettingsUnknownKey,
                         "no such key; the format has: " + known);
        }
    }
}

} // namespace burdock
