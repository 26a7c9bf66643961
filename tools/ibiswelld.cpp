/** The node daemon with the native front. It runs beside one backend server. */

#include "ibiswell/transport/daemon.h"

int main(int argc, char **argv)
{
    using namespace ibiswell;
    auto makeNativeFront = [](NodeSettings &, Error &) -> std::optional<FrontChoice> {
        return NativeFront {};
    };
    return runDaemon("ibiswelld", argc, argv, makeNativeFront);
}
