/** The operator's command line tool. */

#include "operator_commands.h"

#include <boost/program_options.hpp>
#include <fmt/format.h>

#include <csignal>
#include <cstdlib>
#include <iostream>

namespace po = boost::program_options;
using namespace ibiswell;

namespace {

constexpr std::string_view usage = R"(Usage: ibiswell COMMAND [ARGUMENTS] [OPTIONS]

Commands:
  config check FILE             check that a policy file is valid
  config show                   print the policy that is stored at the platform
  config diff FILE              print what "config apply FILE" would change
  config apply FILE             replace the sections that FILE has
  exception list                print all exceptions with their reasons
  exception add NAME --applies-to route:R|team:T --set JSON --reason TEXT
  exception remove NAME
  key grant KEY --team TEAM     grant a key to a team; only its hash is stored
  key withdraw KEY
  zone out ZONE --reason TEXT   send no new calls to an availability zone
  zone in ZONE                  send calls to it again
  status                        print the fleet as one node sees it
  explain REQUEST               print why a request was routed or refused
  help                          print this text

Exit codes: 0 done, 1 failed, 2 usage, 3 invalid input, 4 platform or node cannot be reached,
5 conflict with another operator, 6 stored, but not yet in force everywhere
)";

std::optional<Endpoint> parseEndpoint(const std::string &text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string::npos)
        return std::nullopt;
    int port = std::atoi(text.c_str() + colon + 1);
    if (port < 1 || port > 65535)
        return std::nullopt;
    return Endpoint {text.substr(0, colon), static_cast<std::uint16_t>(port)};
}

po::options_description makeOptions(Arguments &arguments)
{
    po::options_description options("Options");
    options.add_options()("help", "print this text and exit")("version", "print the version")(
        "platform", po::value(&arguments.platform)->default_value(arguments.platform),
        "the platform, ADDRESS:PORT")("node",
                                      po::value(&arguments.node)->default_value(arguments.node),
                                      "HTTP address of any node, ADDRESS:PORT")(
        "token", po::value(&arguments.token),
        "operator token; default: the environment variable IBISWELL_TOKEN")(
        "reason", po::value(&arguments.reason), "reason, stored with the change")(
        "applies-to", po::value(&arguments.appliesTo), "route:NAME or team:NAME")(
        "set", po::value(&arguments.set),
        "JSON object of the changed fields")("team", po::value(&arguments.team), "team of a key")(
        "wait", po::value(&arguments.waitSeconds)->default_value(arguments.waitSeconds),
        "seconds to wait until a change is in force everywhere; 0: do not wait")(
        "json", po::bool_switch(&arguments.asJson), "print JSON for scripts");
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    Arguments arguments;
    po::options_description visible = makeOptions(arguments);
    po::options_description all;
    all.add(visible).add_options()("word", po::value(&arguments.words));
    po::positional_options_description positions;
    positions.add("word", -1);
    po::variables_map parsed;
    try {
        po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(),
                  parsed);
        po::notify(parsed);
    } catch (const po::error &failure) {
        return reportUsageError(failure.what());
    }
    if (parsed.count("version") != 0) {
        fmt::print("ibiswell 0.1.0\n");
        return Ok;
    }
    bool wantsHelp =
        parsed.count("help") != 0 || (!arguments.words.empty() && arguments.words[0] == "help");
    if (wantsHelp || arguments.words.empty()) {
        std::cout << usage << "\n" << visible;
        return wantsHelp ? Ok : UsageError;
    }
    const CommandEntry *command = findCommand(arguments.words);
    if (!command)
        return reportUsageError(fmt::format("unknown command \"{}\"", arguments.words[0]));
    if (arguments.words.size() != command->wordCount)
        return reportUsageError("wrong number of arguments");
    std::optional<Endpoint> platform = parseEndpoint(arguments.platform);
    std::optional<Endpoint> node = parseEndpoint(arguments.node);
    if (!platform || !node)
        return reportUsageError("--platform and --node take ADDRESS:PORT");
    const char *environmentToken = std::getenv("IBISWELL_TOKEN");
    if (arguments.token.empty() && environmentToken)
        arguments.token = environmentToken;
    OperatorSession session(*platform, *node, arguments.token);
    return command->run(session, arguments);
}
