#include "api/final_job_cache.hpp"

namespace marblevale {

void FinalJobCache::insert(const FinalRecord& job) {
  if (!jobs_.emplace(job.job_id, job).second) return;
  insertion_order_.push_back(job.job_id);
  if (insertion_order_.size() > kMaxJobs) {
    jobs_.erase(insertion_order_.front());
    insertion_order_.pop_front();
  }
}

const FinalRecord* FinalJobCache::find(const JobId& job_id) const {
  const auto it = jobs_.find(job_id);
  return it == jobs_.end() ? nullptr : &it->second;
}

}  // namespace marblevale
