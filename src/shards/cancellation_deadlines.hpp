/// Enforcement of the cancellation deadline `cancel_s`: within it after the confirmation, no task
/// of the job runs any more, whatever is unreachable.
///
/// A worker ends its tasks when its lease expires, and answered heartbeats renew the lease. The
/// deadline is enforced by refusing answers: to all workers while the knowledge of cancellations is
/// too old (`may_answer_heartbeats`), and to the worker of a cancelled task that has not ended in
/// time (`must_let_lease_expire`). Machines that are still not known to be free of cancelled tasks
/// are deleted (`machines_past_deadline`).
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

  /// Logs a warning when `cancel_s` leaves too little time beyond the lease.
  void warn_if_tight() const;
  /// Up to `until` every confirmed cancellation is known here, by the attestation of all peers.
  void extend_freshness(SteadyTime until);
  /// Whether heartbeats may be answered, which renews the workers' leases.
  [[nodiscard]] bool may_answer_heartbeats(SteadyTime now) const;
  /// Whether tasks may be started; the limit is stricter than that for running tasks.
  [[nodiscard]] bool may_start_tasks(SteadyTime now) const;
  /// Whether a lease renewed now would outlast `cancel_s` for one of the worker's cancelled tasks.
  [[nodiscard]] bool must_let_lease_expire(const MachineId& machine_id,
                                           const KnownWorker& worker) const;
  /// Machines of held shards to delete, since there is no evidence that their cancelled tasks have
  /// terminated.
  [[nodiscard]] std::vector<MachineId> machines_past_deadline(const WorkerRegistry& workers) const;

 private:
  /// What the lease and the margin leave of `cancel_s`; negative when they leave nothing.
  [[nodiscard]] Duration cancel_time_beyond_lease() const;
  [[nodiscard]] Duration max_freshness_age_for_answer() const;
  /// How old the knowledge of cancellations is.
  [[nodiscard]] Duration freshness_age(SteadyTime now) const;
  /// Whether it runs a task, or may still start one, that was cancelled at least `min_age` ago.
  [[nodiscard]] bool has_cancelled_task(const MachineId& machine_id, const KnownWorker& worker,
                                        Duration min_age) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  SteadyTime attested_fresh_until_{};  // by the peers
};

}  // namespace marblevale
