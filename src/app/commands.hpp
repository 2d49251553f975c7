// Executes the commands of the command line.
#pragma once

#include <string>

#include "app/command_line.hpp"
#include "config/settings.hpp"

namespace marblevale {

/// Runs a controller until the process ends. Returns the process's exit code.
int serve(const ServeCommand& command, const std::string& version);

/// Throws SettingsError when the settings file is missing or invalid. Returns the process's exit
/// code.
int check_settings(const CheckSettingsCommand& command);

/// Asks a controller for the explanation of a job and prints it. Returns the process's exit code: 1
/// when there is no explanation. Throws SettingsError when the controller's address is invalid.
int explain_job(const ExplainJobCommand& command);

}  // namespace marblevale
