// Bytes that servers in trouble send in place of an answer: heads that look like one at first.
#pragma once

#include <string>
#include <utility>
#include <vector>

namespace burdock {

struct OddAnswer
{
    std::string name; // for messages of failed checks
    std::string text;
};

/// Answers that are none, each with the headers of a sound one.
class OddAnswers
{
public:
    /// @param headers lines of a sound answer's head, each with its line end
    explicit OddAnswers(std::string headers)
        : m_headers(std::move(headers))
    {
        addStatuses();
        addCodings();
        addLengths();
        addVersions();
        addLines();
    }

    const std::vector<OddAnswer> &all() const { return m_answers; }

private:
    static constexpr const char *Ok = "HTTP/1.1 200 OK";
    static constexpr const char *Length = "Content-Length: 5";
    static constexpr const char *Body = "hello";
    static constexpr const char *Chunks = "5\r\nhello\r\n0\r\n\r\n";

    void add(const std::string &first, const std::vector<std::string> &lines,
             const std::string &body)
    {
        OddAnswer answer;
        answer.text = first;
        answer.text.append("\r\n").append(m_headers);
        answer.name = first;
        for (const std::string &line : lines) {
            answer.text.append(line).append("\r\n");
            answer.name.append(", ").append(line);
        }
        answer.text.append("\r\n").append(body);
        m_answers.push_back(std::move(answer));
    }

    void addStatuses()
    {
        for (const char *status : { "000", "001", "099", "101", "600", "999" })
            add(std::string("HTTP/1.1 ").append(status), { Length }, Body);
        add("HTTP/1.1 102 X", {}, ""); // interim, and nothing follows
        add("HTTP/1.1 102 X", { Length }, Body);
    }

    void addCodings()
    {
        for (const char *coding : { "xchunked", "gzip, chunked", "chunked, chunked", "identity",
                                    "gzip", "chunked;q=1", "" })
            add(Ok, { std::string("Transfer-Encoding: ").append(coding) }, Chunks);
        add(Ok, { "Transfer-Encoding: chunked", "Transfer-Encoding: gzip" }, Chunks);
        add(Ok, { "Transfer-Encoding: chunked", Length }, Chunks);
        add(Ok, { Length, "Transfer-Encoding: xchunked" }, Body);
        add("HTTP/1.0 200 OK", { "Transfer-Encoding: chunked" }, Chunks);
    }

    void addLengths()
    {
        for (const char *value :
             { "+5", "-5", "5, 5", "5 5", "0x5", "5a", "99999999999999999999", "" })
            add(Ok, { std::string("Content-Length: ").append(value) }, Body);
        add(Ok, { Length, "Content-Length: 4" }, Body);
    }

    void addVersions()
    {
        for (const char *version :
             { "HTTP/2.0", "HTTP/0.9", "HTTP/1.2", "HTTP/11", "http/1.1", "HTTP" })
            add(std::string(version).append(" 200 OK"), { Length }, Body);
        add(" HTTP/1.1 200 OK", { Length }, Body);
    }

    /// Names of fields, and a few values, that no field has.
    void addLines()
    {
        for (const char *line :
             { "X Y: a", "X\tY: a", "X\x01Y: a", "X\x7fY: a", "X\x80Y: a", "X : a", "X\t: a", ": a",
               "X", "X(Y): a", "X@Y: a", "\"X\": a", "X: a\x01z", "X: a\x7f", "X: a\rb" })
            add(Ok, { line, Length }, Body);
        const char zeroInName[] = "X\0Y: a";
        const char zeroInValue[] = "X: a\0b";
        add(Ok, { std::string(zeroInName, sizeof(zeroInName) - 1), Length }, Body);
        add(Ok, { std::string(zeroInValue, sizeof(zeroInValue) - 1), Length }, Body);
    }

    std::string m_headers;
    std::vector<OddAnswer> m_answers;
};

/// @return answers with these lines that are none; a connection is closed after each
inline std::vector<OddAnswer> oddAnswers(const std::string &headers)
{
    return OddAnswers(headers).all();
}

} // namespace burdock
