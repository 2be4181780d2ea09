#include "ctl/output.h"

#include <boost/json.hpp>

#include <iostream>
#include <utility>

namespace burdock {

namespace json = boost::json;

CommandOutput::CommandOutput(bool asJson)
    : m_asJson(asJson)
{
}

void CommandOutput::line(const std::string &text)
{
    if (!m_asJson)
        std::cout << text << std::endl;
}

void CommandOutput::progress(const std::string &text)
{
    if (!m_asJson)
        std::cerr << text << std::endl;
}

void CommandOutput::set(const std::string &key, json::value value)
{
    if (m_asJson)
        m_object[key] = std::move(value);
}

void CommandOutput::error(const Error &error)
{
    m_errors.push_back(error);
}

void CommandOutput::errors(const std::vector<Error> &errors)
{
    m_errors.insert(m_errors.end(), errors.begin(), errors.end());
}

int CommandOutput::finish()
{
    const int exitCode = m_errors.empty() ? 0 : describe(m_errors.front().code).exitCode;
    json::array errors;
    for (const Error &error : m_errors) {
        const ResultCodeRow &row = describe(error.code);
        const int code = static_cast<int>(error.code);
        if (!m_asJson)
            std::cerr << "error " << code << " " << row.name << ": " << error.message << '\n';
        json::object object;
        object["code"] = code;
        object["name"] = row.name;
        object["message"] = error.message;
        errors.emplace_back(std::move(object));
    }
    if (m_asJson) {
        m_object["ok"] = m_errors.empty();
        m_object["exit_code"] = exitCode;
        m_object["errors"] = std::move(errors);
        std::cout << json::serialize(m_object) << std::endl;
    }
    return exitCode;
}

} // namespace burdock
