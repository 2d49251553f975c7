// Checks at submission whether a job can ever run, so that a job that would wait forever is
// rejected with a reason.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/cloud.hpp"
#include "protocol/job_spec.hpp"

namespace marblevale {

/// The reason why the job can never run, as text for its user; empty if the job may run.
/// `max_record_bytes`: the largest value that the state service accepts, under its current and its
/// announced limits, for as long as the job may exist.
[[nodiscard]] std::optional<std::string> infeasibility_reason(const JobSpec& job,
                                                              const Settings& settings,
                                                              const std::vector<MachineType>& types,
                                                              std::size_t max_record_bytes);

}  // namespace marblevale
