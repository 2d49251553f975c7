// The process's log: standard error, one line for each event.
#pragma once

namespace marblevale {

/// Sets the level that the environment variable LOG_LEVEL names (error, info or debug; info when it
/// is unset). False, with a message on standard error, when it names no level.
[[nodiscard]] bool set_up_logging();

}  // namespace marblevale
