#include "suspects/suspecttext.h"

#include "base/hashing.h"

#include <sstream>

namespace burdock {

std::string suspectText(const SuspectNote &note)
{
    std::ostringstream text;
    text << (note.key.kind == SuspectKind::PromptPart ? "part " : "request ") << note.round << ' '
         << (note.wasServed ? 1 : 0) << ' ' << note.trials;
    for (const std::uint64_t crash : note.crashes)
        text << ' ' << hashToHex(crash);
    return text.str();
}

std::optional<SuspectNote> suspectFromText(const std::string &key, const std::string &text)
{
    SuspectNote note;
    std::istringstream keyInput(key);
    std::istringstream input(text);
    std::string kind;
    int wasServed = 0;
    if (!(keyInput >> std::hex >> note.key.id)
        || !(input >> kind >> note.round >> wasServed >> note.trials))
        return std::nullopt;
    if (kind != "part" && kind != "request")
        return std::nullopt;
    note.key.kind = kind == "part" ? SuspectKind::PromptPart : SuspectKind::Request;
    note.wasServed = wasServed != 0;
    input >> std::hex;
    for (std::uint64_t crash = 0; input >> crash;)
        note.crashes.push_back(crash);
    if (!input.eof())
        return std::nullopt;
    return note;
}

} // namespace burdock
