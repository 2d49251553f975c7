// Finds what the committed records say of a job, for all requests of users.
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

/// The state service did not answer, or a record can't be read: nothing is known of the job.
struct LookupFailed {};
/// The job was not accepted before the lookup began.
struct JobUnknown {};
/// Of an unfinished job its record, of an ended one its final record.
using LookupResult = std::variant<LookupFailed, JobUnknown, Versioned<JobRecord>, FinalRecord>;
using LookupHandler = std::function<void(const LookupResult&)>;

/// Looks up jobs so that a result is never older than the request it is for: another controller may
/// have told the user a newer state. It reads the state service only for jobs that this controller
/// does not know as unfinished or ended, and shares those reads between requests.
class JobLookup {
 public:
  JobLookup(const Clock& clock, Store& store, WatchCache& cache, Cancellations& cancellations);

  /// All that users are told of a job passes here. A cancellation that a result shows is published
  /// to the other controllers before `handler` is called.
  void look_up(const JobId& job_id, LookupHandler handler);

  /// True when the job is known to have been accepted, without a read.
  [[nodiscard]] bool is_known(const JobId& job_id) const;

 private:
  /// Requests about one job: those that the read in flight answers, and those that came after it
  /// was sent, which need another.
  struct SharedRead {
    std::vector<LookupHandler> current_handlers;
    std::vector<LookupHandler> next_handlers;
  };

  /// Waits until the watched copy holds all that was committed before the request.
  void look_up_unfinished(const JobId& job_id, LookupHandler handler);
  void read_from_store(const JobId& job_id, LookupHandler handler);
  void read_job_record(const JobId& job_id);
  void read_final_record(const JobId& job_id);
  /// Answers the requests of the read that ended, and starts the next read if others wait.
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
