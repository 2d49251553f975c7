#include "api/unanswered_jobs.hpp"

#include <spdlog/spdlog.h>

namespace marblevale {

void UnansweredJobs::note_unanswered(const JobId& job_id) {
  const SteadyTime now = clock_.steady();
  if (unanswered_since_.size() >= kMaxJobs) unanswered_since_.clear();
  const auto since = unanswered_since_.try_emplace(job_id, now).first;
  if (now - since->second < kWarningInterval) return;
  spdlog::warn("job_api: no request answered job={} for_s={}", job_id.get(),
               whole_seconds(now - since->second));
  since->second = now;
}

}  // namespace marblevale
