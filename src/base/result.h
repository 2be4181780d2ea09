// Results that may be errors: a value or an Error, in a std::variant.
//
// Index
//   Error        a numbered code and one sentence
//   Result<T>    a T or an Error
//   Done         the value of an operation that returns nothing
//   isOk, valueOf, errorOf
#pragma once

#include "base/resultcode.h"

#include <cassert>
#include <string>
#include <utility>
#include <variant>

namespace burdock {

struct Error
{
    ResultCode code = ResultCode::Internal; // what kind of error it is
    std::string message;                    // one sentence with the names and values at fault
};

struct Done
{
};

template <typename T>
using Result = std::variant<T, Error>;

template <typename T>
bool isOk(const Result<T> &result)
{
    return std::holds_alternative<T>(result);
}

template <typename T>
const T &valueOf(const Result<T> &result)
{
    assert(isOk(result) && "check isOk() before valueOf()");
    return *std::get_if<T>(&result);
}

/// Moves the value out of a result that is about to go.
template <typename T>
T takeValue(Result<T> &&result)
{
    assert(isOk(result) && "check isOk() before takeValue()");
    return std::move(*std::get_if<T>(&result));
}

template <typename T>
const Error &errorOf(const Result<T> &result)
{
    assert(!isOk(result) && "check !isOk() before errorOf()");
    return *std::get_if<Error>(&result);
}

} // namespace burdock
