#include "ibiswell/transport/daemon.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <iostream>

namespace ibiswell {

namespace po = boost::program_options;

namespace {

enum ExitCode { Ok = 0, UsageError = 2, SettingsError = 3, ListenError = 4 };

int runNode(const std::string &program, const std::string &path, bool checkOnly,
            const FrontFactory &makeFront)
{
    Error error;
    std::optional<std::string> text = readFile(path, error);
    std::optional<NodeSettings> settings;
    std::optional<FrontChoice> front;
    if (text)
        settings = parseNodeSettings(*text, error);
    if (settings)
        front = makeFront(*settings, error);
    if (!front) {
        fmt::print(stderr, "{}: {}:\n{}\n", program, path, error.detail);
        return SettingsError;
    }
    if (checkOnly)
        return Ok;
    std::signal(SIGPIPE, SIG_IGN);
    Node node(std::move(*settings), std::move(*front));
    if (!node.listen()) {
        fmt::print(stderr, "{}: {}\n", program, node.lastError()->detail);
        return ListenError;
    }
    node.run();
}

} // namespace

int runDaemon(const std::string &program, int argc, char **argv, const FrontFactory &makeFront)
{
    std::string path;
    po::options_description options(fmt::format("Usage: {} --settings FILE\n\nOptions", program));
    options.add_options()("help", "print this text and exit")("version",
                                                              "print the version and exit")(
        "settings", po::value(&path),
        "settings of this node, JSON with comments")("check", "check the settings and exit");
    po::variables_map parsed;
    try {
        po::store(po::parse_command_line(argc, argv, options), parsed);
        po::notify(parsed);
    } catch (const po::error &error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return UsageError;
    }
    if (parsed.count("help") != 0) {
        std::cout << options
                  << "\nExit codes: 0 ok, 2 usage error, 3 invalid settings, 4 an address cannot "
                     "be bound\n";
        return Ok;
    }
    if (parsed.count("version") != 0) {
        std::cout << program << " 0.1.0\n";
        return Ok;
    }
    if (path.empty()) {
        fmt::print(stderr, "{}: --settings FILE is required\n", program);
        return UsageError;
    }
    return runNode(program, path, parsed.count("check") != 0, makeFront);
}

} // namespace ibiswell
