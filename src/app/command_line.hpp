// The program's command line and environment variables.
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
/// Nothing is left to do: help or version was printed, or a usage error.
struct ExitCommand {
  int code = 0;
};
using Command = std::variant<ServeCommand, CheckSettingsCommand, ExplainJobCommand, ExitCommand>;

[[nodiscard]] Command parse_command_line(int argc, const char* const* argv,
                                         const std::string& version);

}  // namespace marblevale
