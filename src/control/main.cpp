// burdock-control: places models on engines. One runs on every entry VM; a lease picks the one that
// acts.
#include "control/controlprogram.h"
#include "net/programmain.h"

int main(int argc, char **argv)
{
    return burdock::runNodeProgram<burdock::ControlProgram>(
            argc, argv, "burdock-control: places models on engines");
}
