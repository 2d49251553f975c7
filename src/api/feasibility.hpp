// Whether a job could ever run, asked when it is submitted.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/cloud.hpp"
#include "protocol/job_spec.hpp"

namespace marblevale {

/// Why the job can never run, in the words that its user is told; absent when it may run.
/// `max_record_bytes`: the largest value that the state service takes for as long as the job may
/// exist.
[[nodiscard]] std::optional<std::string> infeasibility_reason(const JobSpec& job,
                                                              const Settings& settings,
                                                              const std::vector<MachineType>& types,
                                                              std::size_t max_record_bytes);

}  // namespace marblevale
