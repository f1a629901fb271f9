#include "bundle_commands.hpp"
#include "console.hpp"

#include <iostream>
#include <sstream>

namespace burdock::ops {

namespace {

std::vector<std::string> wordsOf(std::string_view text)
{
    std::vector<std::string> words;
    std::istringstream stream{std::string(text)};
    for (std::string word; stream >> word;) {
        words.push_back(word);
    }
    return words;
}

bool beginsWith(const std::vector<std::string> &words, const std::vector<std::string> &name)
{
    return words.size() >= name.size() && std::equal(name.begin(), name.end(), words.begin());
}

} // namespace

std::vector<std::unique_ptr<Command>> allCommands()
{
    std::vector<std::unique_ptr<Command>> commands;
    detail::addBundleCommands(commands);
    detail::addFleetCommands(commands);
    return commands;
}

ExitCode runCommand(const std::vector<std::string> &words, const Options &options)
{
    const auto commands = allCommands();
    for (const auto &command : commands) {
        const auto name = wordsOf(command->name());
        if (!beginsWith(words, name)) {
            continue;
        }
        const std::vector<std::string> arguments(words.begin() + static_cast<std::ptrdiff_t>(name.size()), words.end());
        if (!arguments.empty() && arguments.front() == "help") {
            std::cout << "burdockpaddle " << command->help() << "\n";
            return ExitCode::Ok;
        }
        return command->run(arguments, options);
    }
    std::cerr << "burdockpaddle: no such command; there are:\n";
    for (const auto &command : commands) {
        std::cerr << "  " << command->help() << "\n";
    }
    return ExitCode::BadInput;
}

} // namespace burdock::ops
