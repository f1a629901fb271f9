#include "bundle_commands.hpp"
#include "console.hpp"

#include <iostream>
#include <sstream>

namespace burdock::ops {

namespace {

std::vector<std::string> splitWords(std::string_view text)
{
    std::vector<std::string> words;
    std::istringstream stream{std::string(text)};
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

using Commands = std::vector<std::unique_ptr<Command>>;

void printUsages(const Commands &commands, std::ostream &out)
{
    for (const auto &command : commands) {
        out << "  " << command->usage() << "\n";
    }
}

bool startsWith(const std::vector<std::string> &words, const std::vector<std::string> &name)
{
    return words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin());
}

} // namespace

std::vector<std::unique_ptr<Command>> allCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    detail::addBundleCommands(commands);
    detail::addFleetCommands(commands);
    detail::addGatewayCommands(commands);
    return commands;
}

ExitCode showHelp(const std::vector<std::string> &words)
{
    const auto commands = allCommands();
    for (const auto &command : commands) {
        if (startsWith(words, splitWords(command->name()))) {
            std::cout << command->help();
            return ExitCode::Ok;
        }
    }
    std::cout << "usage: burdockpaddle COMMAND [WORDS] [--platform=IP:PORT] [--output=table|json]\n\n";
    printUsages(commands, std::cout);
    std::cout << "\n`burdockpaddle COMMAND --help` shows one with an example.\n";
    return ExitCode::Ok;
}

ExitCode runCommand(const std::vector<std::string> &words, const Options &options)
{
    const auto commands = allCommands();
    for (const auto &command : commands) {
        const auto name = splitWords(command->name());
        if (startsWith(words, name)) {
            return command->run({words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end()}, options);
        }
    }
    std::cerr << "burdockpaddle: unknown command; available commands:\n";
    printUsages(commands, std::cerr);
    return ExitCode::BadInput;
}

} // namespace burdock::ops
