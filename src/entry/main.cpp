// burdock-entry: takes callers' requests, routes them to upstreams and carries the answers back.
#include "entry/entryprogram.h"
#include "net/programmain.h"

int main(int argc, char **argv)
{
    return burdock::runNodeProgram<burdock::EntryProgram>(
            argc, argv, "burdock-entry: routes callers' requests to upstreams");
}
