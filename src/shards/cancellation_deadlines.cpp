#include "shards/cancellation_deadlines.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
/// Covers the drift of steady clocks (0.05% of `cancel_s`), the differences between wall clocks,
/// and the time that a worker needs to end a task.
constexpr Duration kCancelMargin{4'000};
/// Share of `cancel_s` after which a machine is deleted even if the deletion cannot be recorded.
/// Deletions that can be recorded happen earlier.
constexpr double kUnrecordedDeletionShare = 0.5;
constexpr Duration kMaxFreshnessAgeForStart{2'500};
}  // namespace

Duration CancellationDeadlines::cancel_time_beyond_lease() const {
  const WorkerTimes& times = context_.settings.workers;
  return times.cancel - times.lease - kCancelMargin;
}

Duration CancellationDeadlines::max_freshness_age_for_answer() const {
  // The worker's lease starts when the worker sends the heartbeat that is then answered. A lease
  // that is renewed within this limit therefore expires before the deadline, with the safety margin
  // to spare.
  return std::max(cancel_time_beyond_lease(), kMaxFreshnessAgeForStart);
}

void CancellationDeadlines::warn_if_tight() const {
  if (cancel_time_beyond_lease() >= context_.settings.workers.heartbeat) return;
  spdlog::warn(
      "shard_holder: cancel_s_too_short time_beyond_lease_ms={} heartbeat_ms={} "
      "max_freshness_age_ms={}",
      cancel_time_beyond_lease().count(), context_.settings.workers.heartbeat.count(),
      max_freshness_age_for_answer().count());
}

void CancellationDeadlines::extend_freshness(SteadyTime until) {
  // When less than one heartbeat interval remains, the attestation of the peers cannot help, and
  // only the records count.
  if (cancel_time_beyond_lease() < context_.settings.workers.heartbeat) return;
  attested_fresh_until_ = std::max(attested_fresh_until_, until);
}

Duration CancellationDeadlines::freshness_age(SteadyTime now) const {
  return now - std::max(context_.cache.fresh_until(), attested_fresh_until_);
}

bool CancellationDeadlines::may_answer_heartbeats(SteadyTime now) const {
  return freshness_age(now) < max_freshness_age_for_answer();
}

bool CancellationDeadlines::may_start_tasks(SteadyTime now) const {
  return freshness_age(now) < kMaxFreshnessAgeForStart;
}

bool CancellationDeadlines::has_cancelled_task(const MachineId& machine_id,
                                               const KnownWorker& worker, Duration min_age) const {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  const WallTime now = context_.clock.wall() + context_.settings.clock_error * 2;
  const FencingToken token = shards_.token_of(worker.zone);
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const TaskId& id = entry.first;
    const auto cancelled_at = context_.cancellations.cancelled_at(id.job_id);
    if (!cancelled_at || now - *cancelled_at < min_age) return false;
    const TaskRecord* task = records.task(id);
    if (task == nullptr || task->state != TaskState::bound) return false;
    const TaskPresence presence = classify_presence(id, *task, worker.status, token);
    return presence == TaskPresence::present || presence == TaskPresence::not_reported;
  });
}

bool CancellationDeadlines::must_let_lease_expire(const MachineId& machine_id,
                                                  const KnownWorker& worker) const {
  return has_cancelled_task(machine_id, worker, max_freshness_age_for_answer());
}

std::vector<MachineId> CancellationDeadlines::machines_past_deadline(
    const WorkerRegistry& workers) const {
  const Duration limit = scaled(context_.settings.workers.cancel, kUnrecordedDeletionShare);
  std::vector<MachineId> machines;
  for (const auto& [machine_id, worker] : workers.all()) {
    if (!shards_.holds(worker.zone)) continue;
    if (has_cancelled_task(machine_id, worker, limit)) machines.push_back(machine_id);
  }
  return machines;
}

}  // namespace marblevale
