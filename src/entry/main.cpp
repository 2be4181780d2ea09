// burdock-entry: takes callers' requests, routes them to upstreams and carries the answers back.
#include "entry/entryprogram.h"
#include "net/programmain.h"

#include <malloc.h>

namespace {

/// Larger blocks go back to the system when they are freed. The default threshold rises with each
/// block that is freed; bodies then share the heap and leave holes in it, which took more than the
/// bodies.
constexpr int ReturnedBlockBytes = 128 * 1024;

} // namespace

int main(int argc, char **argv)
{
    mallopt(M_MMAP_THRESHOLD, ReturnedBlockBytes);
    return burdock::runNodeProgram<burdock::EntryProgram>(
            argc, argv, "burdock-entry: routes callers' requests to upstreams");
}
