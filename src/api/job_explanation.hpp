// The answer to "why was my plan late?".
#pragma once

#include <string>

#include "config/settings.hpp"
#include "records/record_set.hpp"

namespace marblevale {

/// Of an unfinished job: its tasks by state, their failures, its guarantee and what happened to its
/// plan. JSON.
[[nodiscard]] std::string explain_job(const Records& records, const Settings& settings,
                                      const JobRecord& job, WallTime now);
/// Of an ended job. JSON.
[[nodiscard]] std::string explain_job(const FinalRecord& job);
/// Formats an explanation's JSON as text for a terminal.
[[nodiscard]] std::string format_explanation(const std::string& explanation);

}  // namespace marblevale
