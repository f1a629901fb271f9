#pragma once

#include <burdock/ops/command.hpp>

namespace burdock::ops::detail {

/** @brief Adds `bundle check|sign|keygen|show|diff` and `keys links|hash`. */
void addBundleCommands(std::vector<std::unique_ptr<Command>> &commands);

/** @brief Adds `rollout apply|status`, `zone out|in|status`, `endpoint drain|undrain|status` and `status`. */
void addFleetCommands(std::vector<std::unique_ptr<Command>> &commands);

/** @brief A command made of its parts. */
class SimpleCommand : public Command
{
public:
    using Body = ExitCode (*)(const std::vector<std::string> &arguments, const Options &options);

    SimpleCommand(std::string_view name, std::string_view help, std::size_t argumentCount, Body body);

    [[nodiscard]] std::string_view name() const override;
    [[nodiscard]] std::string_view help() const override;
    [[nodiscard]] ExitCode run(const std::vector<std::string> &arguments, const Options &options) override;

private:
    std::string_view m_name;
    std::string_view m_help;
    std::size_t m_argumentCount;
    Body m_body;
};

} // namespace burdock::ops::detail
