// The workers that heartbeat to this controller, or are expected to: what each last said, when, and
// whether commands reach it.
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

struct KnownWorker {
  explicit KnownWorker(const MachineId& machine_id) : reachability(machine_id) {}

  WorkerView view;
  ZoneId zone;
  /// Its last heartbeat, or since when it could have reported here. An answer to an order is none:
  /// a machine that reaches no controller receives orders all the same, while its lease lapses.
  SteadyTime last_heartbeat_at = kLongAgo;
  bool command_in_flight = false;
  bool lease_refused = false;                    // gets no answers, so that its lease lapses
  std::map<TaskAttempt, SteadyTime> kills_sent;  // when last
  std::optional<WallTime> reclaim_at;
  std::vector<CachedImage> images;  // seen in use, as in the machine's record
  bool images_changed = false;
  WorkerReachability reachability;
};

/// How many of a zone's machines heartbeat.
struct HeartbeatCounts {
  int machines = 0;
  int reporting = 0;
};

class WorkerRegistry {
 public:
  using Workers = std::unordered_map<MachineId, KnownWorker>;

  WorkerRegistry(const ShardContext& context, const ShardOwnership& shards)
      : context_(context), shards_(shards) {}

  [[nodiscard]] KnownWorker* find(const MachineId& machine_id);
  [[nodiscard]] const KnownWorker* find(const MachineId& machine_id) const;
  [[nodiscard]] Workers& all() { return workers_; }
  [[nodiscard]] const Workers& all() const { return workers_; }
  /// The worker that sent a heartbeat; a new one counts as having reported just now.
  KnownWorker& add_reporting(const MachineId& machine_id, SteadyTime now);
  /// A machine of a shard that was gained: it is expected to heartbeat from now on.
  void expect(const MachineRecord& machine, SteadyTime now);
  void forget_zone(const ZoneId& zone);
  /// Forgets machines that are gone by the records, and strangers that went silent.
  void forget_gone(SteadyTime now);

  /// True for a known worker that has not reported for too long, or that commands don't reach.
  [[nodiscard]] bool is_silent(const MachineId& machine_id) const;
  [[nodiscard]] bool heartbeats(const KnownWorker& worker, SteadyTime now) const {
    return now - worker.last_heartbeat_at < silence_limit();
  }
  /// Of the machines in the records that are known, in held shards.
  [[nodiscard]] std::map<ZoneId, HeartbeatCounts> count_reporting(SteadyTime now) const;
  /// Zones that are held while none of their machines is reachable and reports.
  [[nodiscard]] std::set<ZoneId> unreachable_zones() const;
  /// To be called at each sweep, `interval` apart: time in which this process could hear nobody
  /// does not count as the workers' silence.
  void discount_pause(SteadyTime now, Duration interval);

 private:
  [[nodiscard]] Duration silence_limit() const;
  /// Its silence counts from now on, unless an earlier holder found it silent.
  void restart_silence(const MachineId& machine_id, KnownWorker& worker, SteadyTime now) const;
  void restart_silence_of_reached_zones(SteadyTime now);
  [[nodiscard]] Duration uncounted_time(SteadyTime now, Duration pause) const;

  const ShardContext& context_;
  const ShardOwnership& shards_;
  Workers workers_;
  SteadyTime last_sweep_ = kLongAgo;
  std::set<ZoneId> unreachable_zones_;  // at the last sweep
};

}  // namespace marblevale
