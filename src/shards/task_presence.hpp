/// Determines what a worker's heartbeat proves about a task that is bound to the worker's machine.
/// The rules about late orders and missing heartbeats are here, in functions without I/O.
///
/// A task's capacity may be allocated again only with evidence of termination. Missing heartbeats
/// are no evidence.
#pragma once

#include <map>
#include <optional>

#include "protocol/worker.hpp"
#include "records/records.hpp"

namespace marblevale {

/// Identifies one start of a task.
struct TaskAttempt {
  TaskId id;
  Attempt attempt;
  auto operator<=>(const TaskAttempt&) const = default;
};

/// The state of one worker by the heartbeats that this controller received while it holds the
/// shard, and the starts that the controller sent to the worker.
struct WorkerStatus {
  std::string address;
  WorkerEpoch epoch;
  HeartbeatSequence sequence;
  FencingToken token;  // the highest token that the worker has reported
  std::map<TaskAttempt, ReportedTask> tasks;
  /// Starts sent to `/orders`, with their fencing tokens. Such a start may arrive minutes late, or
  /// twice, until the worker has seen a higher fencing token or begun another epoch.
  std::map<TaskAttempt, FencingToken> direct_starts;
  /// Sequence number of the last heartbeat that was not the reply to an order.
  HeartbeatSequence last_own_heartbeat;
  /// Starts sent in the reply to a heartbeat, with that heartbeat's sequence number. The worker
  /// executes or drops the reply before its next own heartbeat. The worker's reply to an order does
  /// not rule the start out, because the worker may send it before the heartbeat reply arrives.
  std::map<TaskAttempt, HeartbeatSequence> reply_starts;

  enum class Source { own_heartbeat, order_reply };

  /// Replaces the status by a newer heartbeat. Returns false, without a change, when the heartbeat
  /// is not newer.
  bool apply(const WorkerHeartbeat& heartbeat, Source source = Source::own_heartbeat);
  /// Returns true when no start of this attempt that was sent can still be executed. `held_token`
  /// is the fencing token of this holder. Until the worker has seen this token, it may still
  /// execute orders of earlier holders.
  [[nodiscard]] bool start_ruled_out(const TaskAttempt& start, FencingToken held_token) const;
  /// Forgets starts that can no longer be executed.
  void prune();
};

/// The state of a bound task on its machine, as far as there is evidence. `ended`, `lost` and
/// `never_started` are evidence of termination.
enum class TaskPresence {
  present,        // on the machine, and not ended
  ended,          // has exited on the machine; the reported task has the cause
  lost,           // the worker began a new epoch and has ended the task, without a cause to report
  never_started,  // not on the machine, and no start can arrive any more
  not_reported    // not on the machine, but a start may still arrive or is yet to be sent
};

/// `task` is bound to this worker's machine; `held_token` is the fencing token of this holder.
TaskPresence classify_presence(const TaskId& id, const TaskRecord& task, const WorkerStatus& worker,
                               FencingToken held_token);

/// Returns the worker's last report of this attempt, or null when the last heartbeat did not
/// contain the attempt. `worker` owns the result.
const ReportedTask* find_reported(const WorkerStatus& worker, const TaskAttempt& attempt);

/// Run time after which a replica of a service job is stable, so that its earlier failures no
/// longer count.
inline constexpr Duration kStableReplicaRunTime{60'000};

/// Updates a task's record at the end of an attempt. `checkpointed`: a checkpoint was written at
/// the end. A replica of a service job never completes; it becomes idle and waits to run again.
void apply_task_end(TaskRecord& task, const JobSpec& job, TaskEndCause cause, bool checkpointed,
                    WallTime now);

}  // namespace marblevale
