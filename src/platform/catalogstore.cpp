#include "platform/catalogstore.h"

#include "settings/servicefile.h"

#include <boost/json.hpp>

namespace burdock {

namespace asio = boost::asio;
namespace json = boost::json;

asio::awaitable<Result<ServiceCatalog>> readCatalog(ObjectClient &objects, ServiceCatalog known)
{
    const auto head = co_await objects.read("config/head");
    if (!isOk(head))
        co_return errorOf(head);
    boost::system::error_code failure;
    const json::value parsed = json::parse(valueOf(head).value, failure);
    if (failure || !parsed.is_object())
        co_return Error { ResultCode::PlatformUnavailable, "config/head is not JSON" };

    ServiceCatalog catalog;
    catalog.revision = parsed.at("revision").to_number<std::uint64_t>();
    if (catalog.revision <= known.revision)
        co_return known;
    catalog.publishId = std::string(parsed.at("publish_id").as_string());
    for (const auto &[name, hash] : parsed.at("services").as_object()) {
        const std::string key =
                "config/services/" + std::string(name) + "/" + std::string(hash.as_string());
        const auto object = co_await objects.read(key);
        if (!isOk(object))
            co_return errorOf(object);
        const auto service = parseService(valueOf(object).value, key);
        if (!isOk(service))
            co_return errorOf(service);
        catalog.services[valueOf(service).name] = valueOf(service);
    }
    co_return catalog;
}

} // namespace burdock
