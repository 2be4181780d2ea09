// Publishing over the Object API: reads what is published, and carries out what a Publisher asks.
//
// Index
//   newPublishId       names one publish
//   readPublished      the head and the text of each entry
//   ServiceTextChecker checks all services that would be in force as one whole
//   runPublisher       one publish, from start to outcome
#pragma once

#include "decide/publisher.h"
#include "platform/objectclient.h"

#include <map>
#include <string>

namespace burdock {

/// @return a random name, for a publish that is not a repetition
std::string newPublishId();

/// Reads what is published now.
/// @return an empty snapshot if nothing is, or an error of the platform
boost::asio::awaitable<Result<ConfigSnapshot>> readPublished(ObjectClient &objects);

class ServiceTextChecker : public CatalogChecker
{
public:
    /// @param fileNames key -> the operator's file; other entries are named by their key
    explicit ServiceTextChecker(std::map<std::string, std::string> fileNames);

    Result<Done> check(const std::map<std::string, std::string> &texts) const override;

private:
    std::map<std::string, std::string> m_fileNames;
};

/// Carries out one publish.
/// @param request what to publish, from which base
/// @param checker checks the whole that would be in force
/// @param publishTimeout how long to try while the platform does not answer
/// @return the revision that holds it, or the error that ended it
boost::asio::awaitable<Result<std::uint64_t>> runPublisher(ObjectClient &objects,
                                                           PublishRequest request,
                                                           const CatalogChecker &checker,
                                                           std::chrono::seconds publishTimeout);

} // namespace burdock
