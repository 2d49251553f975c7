// The final records of jobs that users asked about lately.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "records/records.hpp"

namespace marblevale {

/// Holds final records, which never change once they are written, so that repeated requests about
/// ended jobs read nothing from the state service. Bounded: the oldest entry is evicted first.
class FinalJobCache {
 public:
  static constexpr std::size_t kMaxJobs = 2000;

  void insert(const FinalRecord& job);
  /// Null when the record isn't cached, which says nothing about the job.
  [[nodiscard]] const FinalRecord* find(const JobId& job_id) const;

 private:
  std::unordered_map<JobId, FinalRecord> jobs_;
  std::list<JobId> insertion_order_;
};

}  // namespace marblevale
