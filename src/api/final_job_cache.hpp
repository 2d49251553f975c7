// Caches the final records of ended jobs that users have recently asked about, to save reads from
// the state service.
#pragma once

#include <cstddef>
#include <list>
#include <unordered_map>

#include "records/records.hpp"

namespace marblevale {

/// A final record never changes, so repeated requests about an ended job are answered from this
/// cache without reading the state service. When the cache is full, the oldest entry is evicted.
class FinalJobCache {
 public:
  static constexpr std::size_t kMaxJobs = 2000;

  void insert(const FinalRecord& job);
  /// Null if the record is not cached; the job may have ended nevertheless.
  [[nodiscard]] const FinalRecord* find(const JobId& job_id) const;

 private:
  std::unordered_map<JobId, FinalRecord> jobs_;
  std::list<JobId> insertion_order_;
};

}  // namespace marblevale
