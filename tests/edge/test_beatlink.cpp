// Messages between nodes: what is sent arrives as it was, and what cannot be read does no harm.
#include "edge/beatlink.h"

#include <rapidcheck.h>

#include <CppUTest/TestHarness.h>

using namespace burdock;
using namespace std::chrono_literals;

TEST_GROUP(PeerMessages) {};

TEST(PeerMessages, ABeatArrivesAsItWasSent)
{
    BeatMessage message;
    message.beat.sender = { "n1", "10.0.0.1", "z", 105.0 };
    message.beat.started = 1'779'462'125'018;
    message.beat.leaving = true;
    message.beat.holder = { "n2", "10.0.0.2", 4 };
    message.beat.others = { { "n3", "10.0.0.3", "z" } };
    message.demand = { { "pool", "m", "", 1'234.0 } };
    message.workTimeServices = { "pool" };
    message.beat.storeEra = 7;
    const auto back = decodePeerMessage(encodePeerMessage(message));
    CHECK(back.has_value());
    const auto &beat = std::get<BeatMessage>(*back);
    CHECK_EQUAL(message.beat.started, beat.beat.started);
    CHECK_EQUAL(105.0, beat.beat.sender.capacity);
    CHECK(beat.beat.leaving);
    CHECK_EQUAL(4, beat.beat.holder.term);
    CHECK_EQUAL(std::string("n3"), beat.beat.others.at(0).name);
    CHECK_EQUAL(std::string("m"), beat.demand.at(0).model);
    CHECK(beat.workTimeServices == message.workTimeServices);
    CHECK_EQUAL(7U, beat.beat.storeEra);
}

// Nodes of two versions run side by side while a fleet is replaced.
TEST(PeerMessages, ABeatOfAnEarlierVersionStatesNoCapacity)
{
    const auto beat = decodePeerMessage(
            R"([1,["n","10.0.0.1","z"],1,false,["","",0],[["m","10.0.0.2","z"]],[],0,true])");
    CHECK(beat.has_value());
    CHECK_EQUAL(0.0, std::get<BeatMessage>(*beat).beat.sender.capacity);
    CHECK(std::get<BeatMessage>(*beat).workTimeServices.empty());
    CHECK_EQUAL(0U, std::get<BeatMessage>(*beat).beat.storeEra);
}

TEST(PeerMessages, NotesArriveAsTheyWereSent)
{
    const auto copy = std::get<CopyNote>(*decodePeerMessage(
            encodePeerMessage(CopyNote { "r", "m/a", CopyChange::Loading, 40ms })));
    CHECK(copy.change == CopyChange::Loading);
    CHECK(copy.usableIn == 40ms);
    const SuspectNote suspect {
        { 0xffff'ffff'ffff'fffe, SuspectKind::PromptPart }, 3, true, 2, { 5, 0xffff'ffff'ffff'fffd }
    };
    const auto suspects = std::get<SuspectNotes>(
            *decodePeerMessage(encodePeerMessage(SuspectNotes { { suspect } })));
    CHECK_EQUAL(1, suspects.notes.size());
    CHECK_EQUAL(0xffff'ffff'ffff'fffe, suspects.notes[0].key.id);
    CHECK(suspects.notes[0].key.kind == SuspectKind::PromptPart);
    CHECK_EQUAL(3, suspects.notes[0].round);
    CHECK(suspects.notes[0].wasServed);
    CHECK_EQUAL(2, suspects.notes[0].trials);
    CHECK(suspects.notes[0].crashes == suspect.crashes);
    const auto prompt = std::get<PromptNote>(
            *decodePeerMessage(encodePeerMessage(PromptNote { "r", 1'800, 7, true })));
    CHECK_EQUAL(1'800, prompt.freshTokens);
    CHECK_EQUAL(7, prompt.ticket);
    CHECK(prompt.withdrawn);
}

// Guards against messages that cannot be read, or overflow, for the wait that they do not state or
// that is absurd.
TEST(PeerMessages, AWantStatesHowLongItsRequestsHaveWaited)
{
    const auto waitedIn = [](const std::string &text) {
        const auto message = decodePeerMessage(text);
        CHECK(message.has_value());
        return std::get<WantNote>(*message).waited;
    };
    const std::string sent = encodePeerMessage(WantNote { "pool", "m", "a1", 2'500ms });
    CHECK(waitedIn(sent) == 2'500ms);
    const std::string withWait = ",2500]";
    CHECK(sent.ends_with(withWait));
    const std::string start = sent.substr(0, sent.size() - withWait.size());
    CHECK(waitedIn(start + "]") == 0ms);
    CHECK(waitedIn(start + ",-5]") == 0ms);
    CHECK(waitedIn(start + ",9000000000000]") == 60s);
}

TEST(PeerMessages, AQuotaNoteArrivesAsItWasSent)
{
    const QuotaNote note { "n1",
                           1'779'462'125'018,
                           7,
                           { { "acme", 5e11, 1'200.0, UnknownLevel, true },
                             { "small", 2'400.0, 0.0, -300.0, false } } };
    const auto back = std::get<QuotaNote>(*decodePeerMessage(encodePeerMessage(note)));
    CHECK_EQUAL(note.startedMs, back.startedMs);
    CHECK_EQUAL(7, back.number);
    CHECK_EQUAL(2, back.uses.size());
    DOUBLES_EQUAL(5e11, back.uses[0].spent, 0.5);
    CHECK(!(back.uses[0].level > UnknownLevel));
    CHECK(back.uses[0].isActive && !back.uses[1].isActive);
    DOUBLES_EQUAL(-300.0, back.uses[1].level, 1e-9);
    for (const char *text : { "[8]", "[8,\"n\",1]", "[8,\"n\",1,1,[]]", "[8,\"n\",1,1,7]",
                              "[8,\"n\",1,1,[\"t\",1,1,1]]", "[8,\"n\",1,1,[\"t\",1,1,1,2]]" })
        CHECK(!decodePeerMessage(text).has_value());
}

TEST(PeerMessages, WhatIsNoMessageIsNothing)
{
    for (const char *text : { "", "[]", "{}", "[9]", "[1]", "[3,\"r\",\"c\",7,1]",
                              "[5,\"r\",\"x\"]", "[1,[\"n\"],0,true,[],[],[]]" })
        CHECK(!decodePeerMessage(text).has_value());
    CHECK(rc::check("arbitrary bytes",
                    [] { decodePeerMessage(*rc::gen::arbitrary<std::string>()); }));
}

TEST(PeerMessages, ABeatWithManyModelsStaysADatagram)
{
    BeatMessage message;
    for (int number = 0; number < 500; ++number)
        message.demand.push_back(
                { "service", "model-" + std::to_string(number), "", number * 1.0 });
    CHECK(encodePeerMessage(message).size() < 1'800);
    const auto beat = std::get<BeatMessage>(*decodePeerMessage(encodePeerMessage(message)));
    CHECK_EQUAL(std::string("model-499"), beat.demand.at(0).model); // the largest are kept
}

TEST(PeerMessages, ALimitArrivesAsItWasSent)
{
    for (const std::optional<double> limit : { std::optional(0.25), std::optional(0.0), {} }) {
        const auto read = decodePeerMessage(encodePeerMessage(LimitNote { "i-1", 17, limit }));
        const auto &note = std::get<LimitNote>(*read);
        CHECK_EQUAL(std::string("i-1"), note.replica);
        CHECK_EQUAL(17U, note.startedMs);
        CHECK(note.limit == limit);
    }
    CHECK(!decodePeerMessage(R"([6,"i-1",17,-1])").has_value());
    CHECK(!decodePeerMessage(R"([6,"i-1",17,"1"])").has_value());
}
