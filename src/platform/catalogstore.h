// How the published configuration lies in the Object API, and how it is read.
//
//   config/head                        {"revision","publish_id","services":{name:hash},"history"}
//   config/services/NAME/HASH          one service as JSON, written once
#pragma once

#include "decide/servicecatalog.h"
#include "platform/objectclient.h"

namespace burdock {

/// Reads the head and every service that it names.
/// @param known a catalog read before; services that did not change are taken from it
/// @return the whole catalog, or the error that kept it from being read whole
boost::asio::awaitable<Result<ServiceCatalog>> readCatalog(ObjectClient &objects,
                                                           ServiceCatalog known);

} // namespace burdock
