// Reads the JSON bodies that stand-ins get.
#pragma once

#include <boost/json/parse.hpp>

#include <string>

namespace standin {

/// @return the value, or null if the text is no JSON
inline boost::json::value parseOrNull(const std::string &text)
{
    boost::system::error_code failure;
    boost::json::value value = boost::json::parse(text, failure);
    return failure ? boost::json::value() : value;
}

} // namespace standin
