// Explains to a user why a job waits or why its plan was late, from the committed records.
#pragma once

#include <string>

#include "records/record_set.hpp"

namespace marblevale {

/// The explanation of an unfinished job as JSON: its tasks by state, their failures, the job's
/// guarantee and the history of its plan.
[[nodiscard]] std::string explain_job(const Records& records, const JobRecord& job, WallTime now);
/// The explanation of an ended job as JSON.
[[nodiscard]] std::string explain_job(const FinalRecord& job);
/// Formats an explanation's JSON as text for a terminal.
[[nodiscard]] std::string format_explanation(const std::string& explanation);

}  // namespace marblevale
