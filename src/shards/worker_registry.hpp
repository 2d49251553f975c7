/// The workers that send heartbeats to this controller, or are expected to send them. For each
/// worker the registry has the last status, the time of the last heartbeat, and whether commands
/// reach the worker.
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

/// The holder's state of one worker.
struct KnownWorker {
  explicit KnownWorker(const MachineId& machine_id) : reachability(machine_id) {}

  WorkerStatus status;
  ZoneId zone;
  /// Time of the worker's last own heartbeat, or the time from which a heartbeat was expected. The
  /// reply to an order does not count, because a machine that reaches no controller may still
  /// receive orders while its lease expires.
  SteadyTime last_heartbeat_at = kLongAgo;
  bool order_request_in_flight = false;
  bool lease_renewal_refused = false;  // heartbeats are not answered, so that the lease expires
  std::map<TaskAttempt, SteadyTime> last_kill_sent;
  std::optional<WallTime> reclaim_at;
  /// Images that were seen in use, to be stored in the machine's record.
  std::vector<CachedImage> images;
  bool images_changed = false;
  WorkerReachability reachability;
};

/// How many of a zone's machines send heartbeats.
struct HeartbeatCounts {
  int machines = 0;
  int heartbeating = 0;
};

/// Owns the known workers, and decides which of them are silent. The time of a process pause of
/// this controller or of an outage of the state service does not count as silence.
class WorkerRegistry {
 public:
  using Workers = std::unordered_map<MachineId, KnownWorker>;

  WorkerRegistry(const ShardContext& context, const ShardOwnership& shards)
      : context_(context), shards_(shards) {}

  [[nodiscard]] KnownWorker* find(const MachineId& machine_id);
  [[nodiscard]] const KnownWorker* find(const MachineId& machine_id) const;
  [[nodiscard]] Workers& all() { return workers_; }
  [[nodiscard]] const Workers& all() const { return workers_; }
  /// Returns the worker that sent a heartbeat. A new worker is added with `now` as the time of its
  /// last heartbeat.
  KnownWorker& find_or_add(const MachineId& machine_id, SteadyTime now);
  /// Adds a machine of a shard that was acquired. Its heartbeats are expected from `now` on.
  void expect_heartbeats(const MachineRecord& machine, SteadyTime now);
  void forget_zone(const ZoneId& zone);
  /// Forgets machines that are gone according to the records, and workers without a record that no
  /// longer send heartbeats and can't execute an earlier start.
  void forget_gone(SteadyTime now);

  /// The tasks in the last heartbeats of all workers.
  [[nodiscard]] std::size_t reported_tasks() const;
  /// Returns true for a known worker whose heartbeats are missing or that commands do not reach.
  [[nodiscard]] bool is_silent(const MachineId& machine_id) const;
  [[nodiscard]] bool is_heartbeating(const KnownWorker& worker, SteadyTime now) const {
    return now - worker.last_heartbeat_at < silence_limit();
  }
  /// Counts the known machines with a record, by zone, in held shards.
  [[nodiscard]] std::map<ZoneId, HeartbeatCounts> count_heartbeating(SteadyTime now) const;
  /// Returns the held zones without a machine that is reachable and sends heartbeats.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// Must be called at each sweep, with the `interval` between sweeps. Time in which this process
  /// could not receive heartbeats does not count as silence of the workers.
  void discount_pause(SteadyTime now, Duration interval);

 private:
  [[nodiscard]] Duration silence_limit() const;
  /// Counts the worker's silence from `now` on, unless an earlier holder marked the machine as
  /// silent.
  void restart_silence_timer(const MachineId& machine_id, KnownWorker& worker,
                             SteadyTime now) const;
  void restart_silence_timers_of_reconnected_zones(SteadyTime now);
  [[nodiscard]] Duration excluded_time(SteadyTime now, Duration pause) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  Workers workers_;
  SteadyTime last_sweep_ = kLongAgo;
  std::set<ZoneId> unreachable_zones_;  // as of the last sweep
};

}  // namespace marblevale
