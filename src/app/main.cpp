// The main program: parses the command line and runs the command.
#include <iostream>
#include <variant>

#include "app/command_line.hpp"
#include "app/commands.hpp"
#include "app/logging.hpp"

namespace {

using namespace marblevale;

int run(const ServeCommand& command) { return serve(command, MARBLEVALE_VERSION); }
int run(const CheckSettingsCommand& command) { return check_settings(command); }
int run(const ExplainJobCommand& command) { return explain_job(command); }
int run(const ExitCommand& command) { return command.code; }

}  // namespace

int main(int argc, char** argv) {
  const Command command = parse_command_line(argc, argv, MARBLEVALE_VERSION);
  if (const auto* exit = std::get_if<ExitCommand>(&command)) return exit->code;
  try {
    if (!set_up_logging()) return kInvalidSettingsExit;
    return std::visit([](const auto& chosen) { return run(chosen); }, command);
  } catch (const SettingsError& error) {
    std::cerr << "marblevale: " << error.what() << "\n";
    return kInvalidSettingsExit;
  } catch (const std::exception& error) {
    std::cerr << "marblevale: " << error.what() << "\n";
    return 1;
  }
}
