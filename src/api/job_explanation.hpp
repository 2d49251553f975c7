// The answer to "why was my plan late?".
#pragma once

#include <string>

#include "config/settings.hpp"
#include "records/record_set.hpp"

namespace marblevale {

/// The answer for an unfinished job, from the records.
std::string explain_job(const Records& records, const Settings& settings, const JobRecord& job,
                        WallTime now);
/// The answer for a job that is over.
std::string explain_job(const FinalRecord& job);
/// The answer as a member reads it, from its JSON; the client verb prints this.
std::string format_explanation(const std::string& answer);

}  // namespace marblevale
