// Server-sent events, however the stream is cut into parts.
#include "net/eventstream.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace burdock;

namespace {

/// @return an event of two lines with the given line end
std::string eventOf(const std::string &firstLine, const std::string &secondLine,
                    const std::string &lineEnd)
{
    std::string event;
    for (const std::string &line : { firstLine, secondLine, std::string() })
        event.append(line).append(lineEnd);
    return event;
}

std::string textOf(const std::vector<StreamEvent> &events)
{
    std::string text;
    for (const StreamEvent &event : events)
        text += event.text;
    return text;
}

} // namespace

TEST_GROUP(EventStream)
{
    EventStreamParser parser;
};

TEST(EventStream, EventsMayEndTheirLinesInThreeWays)
{
    for (const std::string end : { "\n", "\r", "\r\n" }) {
        const std::string first = eventOf("id: 7", "data: a", end);
        const std::string last = eventOf("id: 8", "data: [DONE]", end);
        EventStreamParser own;
        const auto events = own.add(first + last);
        CHECK_EQUAL(2, events.size());
        CHECK_EQUAL(first, events[0].text);
        CHECK_EQUAL(7, *events[0].index);
        CHECK_EQUAL(last, events[1].text);
        CHECK(events[1].isEnd);
        CHECK(!own.isInsideEvent());
    }
}

TEST(EventStream, AnUnfinishedEventIsTold)
{
    for (const std::string text :
         { "d", "data: a", "data: a\n", "data: a\r\n", ": no", "\ndata" }) {
        EventStreamParser own;
        own.add("data: whole\n\n");
        own.add(text);
        CHECK(own.isInsideEvent());
        CHECK_EQUAL(text, own.takePending());
        CHECK(!own.isInsideEvent());
    }
}

TEST(EventStream, CommentsAndBlankLinesBetweenEventsAreNoEvent)
{
    parser.add("data: a\n\n\n");
    CHECK(!parser.isInsideEvent());
    parser.add(": keep-alive\n");
    CHECK(!parser.isInsideEvent());
    CHECK_EQUAL(std::string("\n: keep-alive\n"), parser.takePending());
}

TEST(EventStream, EventsDoNotDependOnHowTheStreamIsCut)
{
    CHECK(rc::check("any cut yields the same events and loses no byte", [] {
        const auto count = *rc::gen::inRange(1, 6);
        std::string stream;
        for (int event = 0; event < count; ++event) {
            const std::string end = *rc::gen::element<std::string>("\n", "\r", "\r\n");
            stream += eventOf("id: " + std::to_string(event), "data: x", end);
        }
        EventStreamParser own;
        std::vector<StreamEvent> events;
        std::size_t at = 0;
        while (at < stream.size()) {
            const auto size = *rc::gen::inRange<std::size_t>(1, 9);
            for (StreamEvent &event : own.add(std::string_view(stream).substr(at, size)))
                events.push_back(std::move(event));
            at += size;
        }
        RC_ASSERT(events.size() == std::size_t(count));
        for (int event = 0; event < count; ++event)
            RC_ASSERT(events[std::size_t(event)].index == std::uint64_t(event));
        RC_ASSERT(textOf(events) + own.takePending() == stream);
        RC_ASSERT(!own.isInsideEvent());
    }));
}
