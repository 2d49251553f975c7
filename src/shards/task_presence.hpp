// What a worker's heartbeat proves about a task that is bound to its machine. Pure: the rules about
// late commands and silence live here.
#pragma once

#include <map>
#include <optional>

#include "protocol/worker.hpp"
#include "records/records.hpp"

namespace marblevale {

/// One start of one task.
struct TaskAttempt {
  TaskId id;
  Attempt attempt;
  auto operator<=>(const TaskAttempt&) const = default;
};

/// What this controller knows of one worker, from reports received while it holds the shard.
struct WorkerView {
  std::string address;
  WorkerEpoch epoch;
  HeartbeatSequence sequence;
  FencingToken token;  // highest that the worker said it has seen
  std::map<TaskAttempt, ReportedTask> tasks;
  /// Starts that were sent to `/orders` and the fencing token they bore. Such a start may arrive
  /// minutes late, or twice, until the worker has seen a higher fencing token or begun another
  /// epoch.
  std::map<TaskAttempt, FencingToken> direct_starts;
  /// Of the last heartbeat that it sent by itself, not in answer to an order.
  HeartbeatSequence last_own_heartbeat;
  /// Starts given in the answer to a heartbeat, and that heartbeat's sequence number. The worker
  /// executes or drops the answer before its next heartbeat. An answer to an order may overtake it:
  /// it settles nothing.
  std::map<TaskAttempt, HeartbeatSequence> answered_starts;

  enum class Source { worker, order };  // sent by itself, or in answer to an order

  /// Replaces what is known by a newer heartbeat; false when the heartbeat is not newer.
  bool apply(const WorkerHeartbeat& heartbeat, Source source = Source::worker);
  /// True when no start of this attempt that was sent can still be executed there. `current` is the
  /// fencing token that we hold: below it, earlier holders' orders may still be on their way.
  [[nodiscard]] bool start_settled(const TaskAttempt& start, FencingToken current) const;
  /// Forgets starts that can't be executed any more.
  void prune();
};

enum class TaskPresence {
  present,     // on the machine, in some state
  ended,       // exited there; see the reported task
  lost,        // proof: gone, without an exit to read
  never_here,  // proof: not there, and no start can arrive any more
  absent       // not there, but a start may still arrive, or is yet to be sent
};

/// `task` is bound to this worker's machine.
TaskPresence classify_presence(const TaskId& id, const TaskRecord& task, const WorkerView& worker,
                               FencingToken current);

/// What the worker last reported of this attempt; null when it did not name it.
const ReportedTask* find_reported(const WorkerView& worker, const TaskAttempt& attempt);

/// A replica of a standing job that ran this long shows that its failures before are over.
inline constexpr Duration kProvenReplicaRun{60'000};

/// What an end does to a task's record. `saved`: a checkpoint was written before it. A replica of a
/// standing job is never done: it waits to run again.
void apply_end(TaskRecord& task, const JobSpec& job, const std::string& cause, bool saved,
               WallTime now);

}  // namespace marblevale
