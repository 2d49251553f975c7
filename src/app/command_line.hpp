// Parses the program's command line and environment variables into one command, so that the rest of
// the program doesn't depend on the parser.
#pragma once

#include <string>
#include <variant>

#include "config/settings.hpp"

namespace marblevale {

/// Exit code for a command line, environment or settings file that can't be used.
inline constexpr int kInvalidSettingsExit = 2;

/// Run a controller.
struct ServeCommand {
  std::string settings_path;  // empty: not given
  Tuning tuning;
};
/// Check the settings and exit.
struct CheckSettingsCommand {
  std::string settings_path;  // empty: not given
};
/// Ask a controller why a job waits, waited or was moved.
struct ExplainJobCommand {
  std::string job_id;
  std::string controller_address;
};
/// Exit without further action, because the help, the version or a usage error was printed.
struct ExitCommand {
  int code = 0;
};
using Command = std::variant<ServeCommand, CheckSettingsCommand, ExplainJobCommand, ExitCommand>;

[[nodiscard]] Command parse_command_line(int argc, const char* const* argv,
                                         const std::string& version);

}  // namespace marblevale
