#include "settings/catalogcheck.h"

#include <CppUTest/TestHarness.h>

#include <string>

using namespace burdock;

namespace {

struct Deployment
{
    std::string folder;     // below examples
    std::string modelGroup; // group of the engines
    GroupCapacity capacity; // of that group
    std::size_t modelCount = 0;
    std::size_t adapterCount = 0;
    double loadsPerSecond = 0.0;
    int loadsAtOnce = 0;
    int adapterLoadsInFlight = 0;
};

constexpr std::int64_t EngineMb = 80'000;

const Deployment Deployments[] = {
    { "peachline", "model-pool", { EngineMb, 18 * EngineMb }, 20, 110, 2.0, 3, 24 },
    { "lachance", "atelier-llm", { EngineMb, 12 * EngineMb }, 25, 70, 1.4, 11, 90 },
    { "first-steps", "model-pool", { EngineMb, 2 * EngineMb }, 2, 1, 1.0, 1, 24 },
};

void checkDeployment(const Deployment &deployment)
{
    const std::string path = std::string(BURDOCK_SOURCE_DIR "/examples/") + deployment.folder;
    const ServiceFolder folder = readServiceFolder(path);
    CHECK_TEXT(folder.errors.empty(),
               folder.errors.empty() ? "" : folder.errors.front().message.c_str());
    LONGS_EQUAL(2, folder.files.size());
    CHECK(checkCatalog(folder.files, { { deployment.modelGroup, deployment.capacity } }).empty());

    const ServiceCatalog catalog = valueOf(buildCatalog(folder.files));
    const Service &service = catalog.services.at(deployment.modelGroup);
    std::size_t adapters = 0;
    for (const ModelEntry &model : service.models)
        adapters += model.adapters.size();
    LONGS_EQUAL(deployment.modelCount, service.models.size());
    LONGS_EQUAL(deployment.adapterCount, adapters);
    DOUBLES_EQUAL(deployment.loadsPerSecond, service.placement.loadsPerSecond, 0.0);
    LONGS_EQUAL(deployment.loadsAtOnce, service.placement.loadsAtOnce);
    LONGS_EQUAL(deployment.adapterLoadsInFlight, service.placement.adapterLoadsInFlight);
}

} // namespace

TEST_GROUP(Examples) {};

TEST(Examples, EachDeploymentIsPublishableAndHasItsSizes)
{
    for (const Deployment &deployment : Deployments)
        checkDeployment(deployment);
}

TEST(Examples, ServicesOfTwoDeploymentsClash)
{
    const ServiceFolder all = readServiceFolder(BURDOCK_SOURCE_DIR "/examples");
    CHECK(all.errors.empty());
    LONGS_EQUAL(6, all.files.size());
    const std::vector<Error> errors = checkCatalog(all.files);
    // Both first-steps and peachline hold model-pool (service, group and one model) and order-app.
    LONGS_EQUAL(4, errors.size());
    for (const Error &error : errors) {
        CHECK(error.code == ResultCode::SettingsClash);
        CHECK(error.message.find("/peachline/") < error.message.find("/first-steps/"));
    }
}

TEST(Examples, FolderWithoutServiceFilesIsRefused)
{
    const ServiceFolder none = readServiceFolder(BURDOCK_SOURCE_DIR "/scripts");
    LONGS_EQUAL(1, none.errors.size());
    CHECK(none.errors.front().code == ResultCode::SettingsUnreadable);
    CHECK(!readServiceFolder("/nonexistent").errors.empty());
}
