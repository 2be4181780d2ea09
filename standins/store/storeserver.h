// The store of the users' platform over HTTP, with faults on demand.
//
//   GET /objects/KIND[?watch=REVISION&wait_ms=N]   list, or wait for changes
//   GET, POST, PUT, DELETE /objects/KIND[/NAME]    one object
//   PUT /faults   {"away":"no"|"refuse"|"silent","save":bool,"restore":bool,"keep_watches":bool,
//                  "silence":share of the open connections that go silent for good}
//   GET /written  every change so far: [era, revision, kind, name, deleted, spec, at]; "at" in
//                 milliseconds since some point
//
// Every answer of /objects names the store's era. A store that comes back from its copy cuts the
// watches that wait, or with "keep_watches" goes on with them, as one does that knows only numbers.
#pragma once

#include "net/httpserver.h"
#include "store/revisionstore.h"

#include <functional>

namespace standin {

enum class StoreAbsence {
    None,
    Refusing, // answers 503
    Silent,   // reads calls and does not answer them
};

class StoreServer : public burdock::HttpHandler
{
public:
    boost::asio::awaitable<void> handle(const burdock::HttpRequest &request,
                                        burdock::HttpReply &reply) override;

    /// Called a moment after "silence" was asked for and answered.
    std::function<void(double share)> onSilence = [](double) {
    };

    RevisionStore objects;
    StoreAbsence absence = StoreAbsence::None;
    bool keepsWatches = false; // across restore()
    int reads = 0;             // calls so far
    int writes = 0;            //

private:
    boost::asio::awaitable<void> answer(burdock::HttpReply &reply, int status,
                                        boost::json::value body);
    boost::asio::awaitable<void> read(const burdock::HttpRequest &request,
                                      burdock::HttpReply &reply, std::string kind,
                                      std::string name);
    boost::asio::awaitable<void> watch(const burdock::HttpRequest &request,
                                       burdock::HttpReply &reply, std::string kind,
                                       std::uint64_t since);
    boost::asio::awaitable<void> write(const burdock::HttpRequest &request,
                                       burdock::HttpReply &reply, std::string kind,
                                       std::string name);
    boost::asio::awaitable<void> setFaults(const burdock::HttpRequest &request,
                                           burdock::HttpReply &reply);
    boost::json::value written() const;
};

} // namespace standin
