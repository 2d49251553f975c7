// Enforces `cancel_s`: how old the knowledge of cancellations may be for an answer or a start, and
// which leases must lapse because a cancelled task is still there.
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

  void warn_if_tight() const;
  /// The latest moment up to which no cancellation can have been confirmed that we do not know of.
  void extend_freshness(SteadyTime until);
  /// Whether a heartbeat may be answered, which keeps the worker's lease.
  [[nodiscard]] bool may_answer(SteadyTime now) const;
  /// Whether a task may be started: what runs may go on for longer.
  [[nodiscard]] bool may_start(SteadyTime now) const;
  /// A lease renewed now would outlast `cancel_s` for one of the worker's cancelled tasks.
  [[nodiscard]] bool lease_must_lapse(const MachineId& machine_id, const KnownWorker& worker) const;
  /// Machines of held shards to delete, since it is not known that their cancelled tasks have
  /// ended.
  [[nodiscard]] std::vector<MachineId> overdue_machines(const WorkerRegistry& workers) const;

 private:
  /// From `cancel_s`, what the lease and the margin leave; negative when they leave nothing.
  [[nodiscard]] Duration time_beyond_lease() const;
  [[nodiscard]] Duration answer_limit() const;
  [[nodiscard]] Duration freshness_age(SteadyTime now) const;
  /// It has a task, or may still start one, that was cancelled at least `since` ago.
  [[nodiscard]] bool has_cancelled_task(const MachineId& machine_id, const KnownWorker& worker,
                                        Duration since) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  SteadyTime extended_fresh_until_{};  // by the peers' word
};

}  // namespace marblevale
