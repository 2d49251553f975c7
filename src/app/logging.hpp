// Logging of the process to standard error, one line for each event.
#pragma once

namespace marblevale {

/// Sets the log level from the environment variable LOG_LEVEL: error, info or debug; info when it
/// is unset. For any other value, prints a message to standard error and returns false.
[[nodiscard]] bool set_up_logging();

}  // namespace marblevale
