#pragma once

#include <burdock/ops/command.hpp>

namespace burdock::ops::detail {

/** @brief Adds `bundle check|sign|keygen|show|diff` and `keys links|hash`. */
void addBundleCommands(std::vector<std::unique_ptr<Command>> &commands);

/** @brief Adds `rollout apply|status`, `zone out|in|status`, `customer set|remove`, `endpoint drain|undrain|status` and `status`. */
void addFleetCommands(std::vector<std::unique_ptr<Command>> &commands);

/** @brief Adds `gateway check` and `explain`. */
void addGatewayCommands(std::vector<std::unique_ptr<Command>> &commands);

/** @brief Name and help texts of a command. */
struct CommandText
{
    std::string_view name;
    std::string_view usage; ///< name, arguments and required flags
    std::string_view purpose;
    std::string_view example;
};

/** @brief A command defined by its texts and a function. */
class SimpleCommand : public Command
{
public:
    using Handler = ExitCode (*)(const std::vector<std::string> &arguments, const Options &options);

    SimpleCommand(const CommandText &text, std::size_t argumentCount, Handler handler);

    [[nodiscard]] std::string_view name() const override;
    [[nodiscard]] std::string_view usage() const override;
    [[nodiscard]] std::string help() const override;
    [[nodiscard]] ExitCode run(const std::vector<std::string> &arguments, const Options &options) override;

private:
    CommandText m_text;
    std::size_t m_argumentCount;
    Handler m_handler;
};

/** @brief Returns a function that adds a command, given its texts, its number of arguments and its function. */
[[nodiscard]] inline auto commandAdder(std::vector<std::unique_ptr<Command>> &commands)
{
    return [&commands](const CommandText &text, std::size_t argumentCount, SimpleCommand::Handler handler) {
        commands.push_back(std::make_unique<SimpleCommand>(text, argumentCount, handler));
    };
}

} // namespace burdock::ops::detail
