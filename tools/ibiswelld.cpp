/** The node daemon with the product's own front: runs beside one backend server. */

#include "ibiswell/transport/daemon.h"

int main(int argc, char **argv)
{
    using namespace ibiswell;
    auto ownFront = [](NodeSettings &, Error &) -> std::optional<FrontChoice> {
        return OwnFront {};
    };
    return runDaemon("ibiswelld", argc, argv, ownFront);
}
