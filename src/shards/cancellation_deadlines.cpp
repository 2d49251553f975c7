#include "shards/cancellation_deadlines.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

namespace marblevale {

namespace {
// For the drift of steady clocks (0.05% of cancel_s), for clocks that are off, and for the worker's
// own time.
constexpr Duration kCancelMargin{4'000};
// Share of `cancel_s` after which a machine is deleted though the deletion can't be recorded: later
// than deletion in the ordinary way.
constexpr double kUnrecordedDeletionShare = 0.5;
constexpr Duration kMaxFreshnessAgeForStart{2'500};
}  // namespace

Duration CancellationDeadlines::time_beyond_lease() const {
  const WorkerTimes& times = context_.settings.workers;
  return times.cancel - times.lease - kCancelMargin;
}

Duration CancellationDeadlines::answer_limit() const {
  // The worker's lease runs from the sending of the last heartbeat that was answered: one that was
  // answered by then is over a margin before the task must be gone.
  return std::max(time_beyond_lease(), kMaxFreshnessAgeForStart);
}

void CancellationDeadlines::warn_if_tight() const {
  if (time_beyond_lease() >= context_.settings.workers.heartbeat) return;
  spdlog::warn(
      "holder: cancel_s leaves less than a report beyond lease_s: without word of the state "
      "service no report is answered for longer than {} ms",
      answer_limit().count());
}

void CancellationDeadlines::extend_freshness(SteadyTime until) {
  // Where there is no time for it to be of use, nobody's word is taken for the state service's.
  if (time_beyond_lease() < context_.settings.workers.heartbeat) return;
  extended_fresh_until_ = std::max(extended_fresh_until_, until);
}

Duration CancellationDeadlines::freshness_age(SteadyTime now) const {
  return now - std::max(context_.cache.fresh_until(), extended_fresh_until_);
}

bool CancellationDeadlines::may_answer(SteadyTime now) const {
  return freshness_age(now) < answer_limit();
}

bool CancellationDeadlines::may_start(SteadyTime now) const {
  return freshness_age(now) < kMaxFreshnessAgeForStart;
}

bool CancellationDeadlines::has_cancelled_task(const MachineId& machine_id,
                                               const KnownWorker& worker, Duration since) const {
  const Records& records = context_.cache.records();
  const auto placed = records.placed.find(machine_id);
  if (placed == records.placed.end()) return false;
  const WallTime now = context_.clock.wall() + context_.settings.clock_error * 2;
  const FencingToken token = shards_.token_of(worker.zone);
  return std::any_of(placed->second.begin(), placed->second.end(), [&](const auto& entry) {
    const TaskId& id = entry.first;
    const auto cancelled_at = context_.cancellations.cancelled_at(id.job_id);
    if (!cancelled_at || now - *cancelled_at < since) return false;
    const TaskRecord* task = records.task(id);
    if (task == nullptr || task->state != TaskState::bound) return false;
    const TaskPresence found = classify_presence(id, *task, worker.view, token);
    return found == TaskPresence::present || found == TaskPresence::absent;
  });
}

bool CancellationDeadlines::lease_must_lapse(const MachineId& machine_id,
                                             const KnownWorker& worker) const {
  return has_cancelled_task(machine_id, worker, answer_limit());
}

std::vector<MachineId> CancellationDeadlines::overdue_machines(
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
