// Reads JSON with comments and reports every problem with its file, path and reason.
//
// Index
//   Problems       the errors found in one file
//   JsonReader     one value of a document: checked access to it and to its members
//
// A reader never stops at the first problem: it notes it, hands out the fallback and goes on. Call
// finish() on each object that was read, so that keys which nobody asked for are reported.
#pragma once

#include "base/result.h"

#include <boost/json/fwd.hpp>

#include <cstdint>
#include <functional>
#include <limits>
#include <set>
#include <string>
#include <vector>

namespace burdock {

// ---- Problems -----------------------------------------------------------------------------------

class Problems
{
public:
    explicit Problems(std::string fileName);

    /// Notes one problem as "FILE: PATH: REASON".
    void add(ResultCode code, const std::string &path, const std::string &reason);

    const std::vector<Error> &errors() const { return m_errors; }
    const std::string &fileName() const { return m_fileName; }

private:
    std::string m_fileName;
    std::vector<Error> m_errors;
};

/// Makes one error of several.
/// @param errors at least one
/// @return the code of the first, and all messages, one a line
Error joinErrors(const std::vector<Error> &errors);

// ---- Reading ------------------------------------------------------------------------------------

struct IntegerBounds
{
    std::int64_t lowest = 0;
    std::int64_t highest = std::numeric_limits<std::int64_t>::max();
};

inline constexpr double NumberStepsPerUnit = 1'000.0; // numbers are rounded to thousandths

struct NumberBounds
{
    double lowest = 0.0;
    double highest = 0.0;
};

/// Says what is wrong with a text; an empty answer means that it is good.
using TextRule = std::function<std::string(const std::string &)>;

class JsonReader
{
public:
    /// @param value outlives the reader
    /// @param path where the value stands, "$" for the root
    /// @param problems receives what is wrong; outlives the reader
    JsonReader(const boost::json::value &value, std::string path, Problems &problems);

    const std::string &path() const { return m_path; }
    bool isText() const;
    bool isObject() const;

    /// Notes a problem with this value.
    void refuse(ResultCode code, const std::string &reason) const;

    // This value itself
    std::string asText() const;

    // Members of an object. Each call makes the key known.
    bool has(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback, const TextRule &rule);
    std::string requireText(const std::string &key, const TextRule &rule);
    std::int64_t integer(const std::string &key, std::int64_t fallback, IntegerBounds bounds);
    std::int64_t requireInteger(const std::string &key, IntegerBounds bounds);
    double number(const std::string &key, double fallback, NumberBounds bounds);
    void object(const std::string &key, const std::function<void(JsonReader &)> &visit);
    void array(const std::string &key, const std::function<void(JsonReader &)> &visit);
    void requireArray(const std::string &key, const std::function<void(JsonReader &)> &visit);

    /// Notes a problem with a member.
    void refuseMember(const std::string &key, ResultCode code, const std::string &reason) const;

    /// Notes each key that no call above asked for.
    void finish();

private:
    const boost::json::value *find(const std::string &key);
    const boost::json::value *require(const std::string &key);
    std::string textAt(const boost::json::value &value, const std::string &key,
                       const std::string &fallback, const TextRule &rule);
    std::int64_t integerAt(const boost::json::value &value, const std::string &key,
                           std::int64_t fallback, IntegerBounds bounds);
    void arrayAt(const boost::json::value &value, const std::string &key,
                 const std::function<void(JsonReader &)> &visit);
    std::string pathOf(const std::string &key) const;

    const boost::json::value &m_value;
    std::string m_path;
    Problems &m_problems;
    std::set<std::string> m_known; // keys asked for so far
};

} // namespace burdock
