// What a command prints: lines for people, or one JSON object for programs.
//
// Index
//   CommandOutput   collects results and errors and prints them in the chosen form
#pragma once

#include "base/result.h"

#include <boost/json/object.hpp>

#include <string>
#include <vector>

namespace burdock {

class CommandOutput
{
public:
    /// @param asJson one JSON object on standard output at the end, in place of lines
    explicit CommandOutput(bool asJson);

    /// Prints a result line for people; nothing in JSON.
    void line(const std::string &text);

    /// Prints a progress line for people on standard error; nothing in JSON.
    void progress(const std::string &text);

    /// Adds a member to the JSON object; nothing in plain form.
    void set(const std::string &key, boost::json::value value);

    void error(const Error &error);
    void errors(const std::vector<Error> &errors);

    /// Prints the errors, and in JSON everything else too.
    /// @return the exit code: that of the first error, or 0
    int finish();

private:
    bool m_asJson;
    boost::json::object m_object;
    std::vector<Error> m_errors;
};

} // namespace burdock
