// Whether a job could ever run, asked when it is submitted.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "config/settings.hpp"
#include "protocol/cloud.hpp"
#include "protocol/job_spec.hpp"

namespace marblevale {

/// The reason why the job can never run; nothing when it may. `max_record_bytes`: what the state
/// service takes of one value, for as long as the job may be there.
std::optional<std::string> infeasibility_reason(const JobSpec& job, const Settings& settings,
                                                const std::vector<MachineType>& types,
                                                std::size_t max_record_bytes);

}  // namespace marblevale
