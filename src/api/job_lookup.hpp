// Looks up the committed state of a job for all users' requests, so that no answer contradicts one
// that another controller has given before.
#pragma once

#include <functional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "api/final_job_cache.hpp"
#include "api/unanswered_jobs.hpp"
#include "cancellations/cancellations.hpp"
#include "store/watch_cache.hpp"

namespace marblevale {

/// The state service did not answer, too many reads were in flight, or the record can't be decoded.
/// The job may or may not exist.
struct LookupFailed {};
/// The job was not accepted before the lookup began.
struct JobUnknown {};
/// Holds the job's record if the job is unfinished, and its final record if the job has ended.
using LookupResult = std::variant<LookupFailed, JobUnknown, Versioned<JobRecord>, FinalRecord>;
using LookupHandler = std::function<void(const LookupResult&)>;

/// A result is never older than the request that it answers, because another controller may already
/// have reported a newer state to the user. The state service is read only for jobs that are
/// neither in the watch cache nor in the cache of final records; concurrent requests share these
/// reads.
class JobLookup {
 public:
  JobLookup(const Clock& clock, Store& store, WatchCache& cache, Cancellations& cancellations);

  /// Calls `handler` once with the job's state. Every stored job state that users are told is
  /// looked up here, so this method publishes a cancellation that the result shows to the other
  /// controllers before it calls `handler`.
  void look_up(const JobId& job_id, LookupHandler handler);

  /// True if a cache shows that the job was accepted; does not read the state service.
  [[nodiscard]] bool is_known(const JobId& job_id) const;

 private:
  /// Requests about one job. The read in flight answers `current_handlers`. The requests of
  /// `next_handlers` came after that read was sent and need another read.
  struct SharedRead {
    std::vector<LookupHandler> current_handlers;
    std::vector<LookupHandler> next_handlers;
  };

  /// Waits until the watch cache contains all commits made before the request.
  void look_up_unfinished(const JobId& job_id, LookupHandler handler);
  void read_from_store(const JobId& job_id, LookupHandler handler);
  void read_job_record(const JobId& job_id);
  void read_final_record(const JobId& job_id);
  /// Answers the requests that the completed read serves, and starts the next read if others wait.
  void complete_read(const JobId& job_id, const LookupResult& result);
  void publish_cancellation(const LookupResult& result);

  Store& store_;
  WatchCache& cache_;
  Cancellations& cancellations_;
  UnansweredJobs unanswered_jobs_;
  FinalJobCache final_jobs_;
  std::unordered_map<JobId, SharedRead> reads_;
};

}  // namespace marblevale
