/// Enforces the cancellation deadline: at most `cancel_s` after a cancellation was confirmed, no
/// task of the job runs any more, regardless of which components are unreachable.
///
/// A worker ends its tasks when its lease expires, and each answered heartbeat renews the lease.
/// The deadline is therefore enforced by not answering heartbeats: those of all workers while the
/// knowledge of cancellations is too old (`may_answer_heartbeats`), and those of a worker with a
/// cancelled task that has not ended in time (`must_let_lease_expire`). Machines without evidence
/// that their cancelled tasks have terminated are deleted (`machines_past_deadline`).
#pragma once

#include <vector>

#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/worker_registry.hpp"

namespace marblevale {

class CancellationDeadlines {
 public:
  CancellationDeadlines(const ShardContext& context, const ShardOwnership& shards)
      : context_(context), shards_(shards) {}

  /// Logs a warning when `cancel_s` leaves less than one heartbeat interval beyond the lease and
  /// the safety margin.
  void warn_if_tight() const;
  /// Records that all peers have attested that every cancellation confirmed up to `until` is known
  /// to this controller.
  void extend_freshness(SteadyTime until);
  /// Whether heartbeats may be answered. An answer renews the worker's lease.
  [[nodiscard]] bool may_answer_heartbeats(SteadyTime now) const;
  /// Whether tasks may be started. Starts require at least as recent knowledge of cancellations as
  /// answers to heartbeats, which let tasks go on running.
  [[nodiscard]] bool may_start_tasks(SteadyTime now) const;
  /// Whether a lease renewed now would outlast `cancel_s` for one of the worker's cancelled tasks.
  [[nodiscard]] bool must_let_lease_expire(const MachineId& machine_id,
                                           const KnownWorker& worker) const;
  /// Returns the machines of held shards that must be deleted because there is no evidence that
  /// their cancelled tasks have terminated.
  [[nodiscard]] std::vector<MachineId> machines_past_deadline(const WorkerRegistry& workers) const;

 private:
  /// The part of `cancel_s` that remains after the lease and the safety margin; negative when both
  /// together exceed `cancel_s`.
  [[nodiscard]] Duration cancel_time_beyond_lease() const;
  [[nodiscard]] Duration max_freshness_age_for_answer() const;
  /// The age of the knowledge of cancellations.
  [[nodiscard]] Duration freshness_age(SteadyTime now) const;
  /// Whether the worker runs, or may still start, a task whose job was cancelled at least `min_age`
  /// ago.
  [[nodiscard]] bool has_cancelled_task(const MachineId& machine_id, const KnownWorker& worker,
                                        Duration min_age) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  /// The peers attest that all cancellations up to this time are known here.
  SteadyTime attested_fresh_until_{};
};

}  // namespace marblevale
