/** The node daemon: runs beside one backend server. */

#include "ibiswell/transport/node.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <iostream>

namespace po = boost::program_options;

namespace {

enum ExitCode { Ok = 0, UsageError = 2, SettingsError = 3, ListenError = 4 };

int runNode(const std::string &path, bool checkOnly)
{
    ibiswell::Error error;
    std::optional<std::string> text = ibiswell::readFile(path, error);
    std::optional<ibiswell::NodeSettings> settings;
    if (text)
        settings = ibiswell::parseNodeSettings(*text, error);
    if (!settings) {
        fmt::print(stderr, "ibiswelld: {}:\n{}\n", path, error.detail);
        return SettingsError;
    }
    if (checkOnly)
        return Ok;
    std::signal(SIGPIPE, SIG_IGN);
    ibiswell::Node node(std::move(*settings));
    if (!node.listen()) {
        fmt::print(stderr, "ibiswelld: {}\n", node.lastError()->detail);
        return ListenError;
    }
    node.run();
}

} // namespace

int main(int argc, char **argv)
{
    std::string path;
    po::options_description options("Usage: ibiswelld --settings FILE\n\nOptions");
    options.add_options()("help", "print this text and exit")("version",
                                                              "print the version and exit")(
        "settings", po::value(&path),
        "settings of this node, JSON with comments")("check", "check the settings and exit");
    po::variables_map given;
    try {
        po::store(po::parse_command_line(argc, argv, options), given);
        po::notify(given);
    } catch (const po::error &failure) {
        fmt::print(stderr, "ibiswelld: {}\n", failure.what());
        return UsageError;
    }
    if (given.count("help") != 0) {
        std::cout << options
                  << "\nExit codes: 0 ok, 2 usage, 3 settings, 4 an address cannot be had\n";
        return Ok;
    }
    if (given.count("version") != 0) {
        std::cout << "ibiswelld 0.1.0\n";
        return Ok;
    }
    if (path.empty()) {
        fmt::print(stderr, "ibiswelld: --settings FILE is required\n");
        return UsageError;
    }
    return runNode(path, given.count("check") != 0);
}
