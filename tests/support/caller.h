// A caller that keeps what it is answered.
#pragma once

#include "net/httpserver.h"

#include <functional>
#include <utility>

namespace burdock {

namespace asio = boost::asio;

/// What the caller gets.
struct Caller : public HttpReply
{
    asio::awaitable<bool> send(int answered, std::vector<HttpHeader> sent,
                               std::string text) override
    {
        answers++;
        status = answered;
        headers = std::move(sent);
        body = std::move(text);
        ended = true;
        co_return true;
    }
    asio::awaitable<bool> begin(int answered, std::vector<HttpHeader> sent) override
    {
        answers++;
        status = answered;
        headers = std::move(sent);
        co_return true;
    }
    asio::awaitable<bool> write(std::string_view part) override
    {
        body += part;
        co_return true;
    }
    asio::awaitable<bool> finish() override
    {
        ended = true;
        co_return true;
    }
    void onCallerLeft(std::function<void()> callback) override
    {
        leftCallback = std::move(callback);
    }
    bool callerLeft() const override { return hasLeft; }
    bool checkCallerLeft() override
    {
        if (hasLeft && leftCallback)
            std::exchange(leftCallback, nullptr)();
        return hasLeft;
    }
    bool begun() const override { return status != 0; }
    void cut() override { hasLeft = true; }

    bool hasLeft = false; // its connection is closed, which is noticed by checkCallerLeft() only
    std::function<void()> leftCallback;
    int answers = 0;
    int status = 0;
    bool ended = false;
    std::vector<HttpHeader> headers;
    std::string body;
};

} // namespace burdock
