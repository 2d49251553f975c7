/// The workers that send heartbeats to this controller, or are expected to: the last status of
/// each, when it was received, and whether commands reach the worker.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "shards/reachability.hpp"
#include "shards/shard_context.hpp"
#include "shards/shard_ownership.hpp"
#include "shards/task_presence.hpp"

namespace marblevale {

/// What the holder knows of one worker.
struct KnownWorker {
  explicit KnownWorker(const MachineId& machine_id) : reachability(machine_id) {}

  WorkerStatus status;
  ZoneId zone;
  /// Its last own heartbeat, or since when one was possible. The reply to an order does not count:
  /// a machine that reaches no controller may still receive orders, while its lease expires.
  SteadyTime last_heartbeat_at = kLongAgo;
  bool order_request_in_flight = false;
  bool lease_renewal_refused = false;  // heartbeats are not answered, so that the lease expires
  std::map<TaskAttempt, SteadyTime> last_kill_sent;
  std::optional<WallTime> reclaim_at;
  std::vector<CachedImage> images;  // seen in use, as in the machine's record
  bool images_changed = false;
  WorkerReachability reachability;
};

/// How many of a zone's machines send heartbeats.
struct HeartbeatCounts {
  int machines = 0;
  int heartbeating = 0;
};

/// Owns the known workers, and decides which of them are silent: a process pause of this controller
/// and an outage of the state service are not held against the workers.
class WorkerRegistry {
 public:
  using Workers = std::unordered_map<MachineId, KnownWorker>;

  WorkerRegistry(const ShardContext& context, const ShardOwnership& shards)
      : context_(context), shards_(shards) {}

  [[nodiscard]] KnownWorker* find(const MachineId& machine_id);
  [[nodiscard]] const KnownWorker* find(const MachineId& machine_id) const;
  [[nodiscard]] Workers& all() { return workers_; }
  [[nodiscard]] const Workers& all() const { return workers_; }
  /// The worker that sent a heartbeat; a new one counts as having sent it at `now`.
  KnownWorker& find_or_add(const MachineId& machine_id, SteadyTime now);
  /// Adds a machine of a shard that was acquired: its heartbeats are expected from now on.
  void expect_heartbeats(const MachineRecord& machine, SteadyTime now);
  void forget_zone(const ZoneId& zone);
  /// Forgets machines that are gone by the records, and silent workers without a record.
  void forget_gone(SteadyTime now);

  /// True for a known worker whose heartbeats are missing, or that commands do not reach.
  [[nodiscard]] bool is_silent(const MachineId& machine_id) const;
  [[nodiscard]] bool is_heartbeating(const KnownWorker& worker, SteadyTime now) const {
    return now - worker.last_heartbeat_at < silence_limit();
  }
  /// By zone, of the known machines with a record, in held shards.
  [[nodiscard]] std::map<ZoneId, HeartbeatCounts> count_heartbeating(SteadyTime now) const;
  /// Held zones without a machine that is reachable and sends heartbeats.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// To be called at each sweep, `interval` apart: time in which this process could not receive
  /// heartbeats does not count as the workers' silence.
  void discount_pause(SteadyTime now, Duration interval);

 private:
  [[nodiscard]] Duration silence_limit() const;
  /// Counts its silence from `now` on, unless an earlier holder found it silent.
  void restart_silence_timer(const MachineId& machine_id, KnownWorker& worker,
                             SteadyTime now) const;
  void restart_silence_timers_of_reconnected_zones(SteadyTime now);
  [[nodiscard]] Duration excluded_time(SteadyTime now, Duration pause) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  Workers workers_;
  SteadyTime last_sweep_ = kLongAgo;
  std::set<ZoneId> unreachable_zones_;  // at the last sweep
};

}  // namespace marblevale
