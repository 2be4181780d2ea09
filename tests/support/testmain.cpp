#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>

// CppUTest counts the static allocations of RapidCheck and glog as leaks, so its own counting is
// off. CI runs the same tests under the address sanitizer, which looks for leaks instead.
int main(int argc, char **argv)
{
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    return CommandLineTestRunner::RunAllTests(argc, argv);
}
