#include "scheduling/preemption.hpp"

#include <algorithm>

namespace marblevale {

namespace {
// Losses are in seconds of work.

// For a victim without a deadline, because such jobs need an early start.
constexpr double kNoDeadlineLossSeconds = 60;
constexpr Duration kRecentStart{30'000};
// For a victim that started less than kRecentStart ago.
constexpr double kRecentStartLossSeconds = 15;
// For every victim.
constexpr double kPerVictimLossSeconds = 5;
constexpr double kRefetchChance = 0.5;
// Room that the job can use only after an image fetch is worth less.
constexpr double kFetchWeight = 2;
// Factor on the loss of a victim whose team has no guarantee. An addition to the loss of the other
// victims instead would make one gang cheaper to stop than the four small tasks beside it.
constexpr double kNoGuaranteeLossWeight = 0.5;

/// A placed task that may be stopped.
struct VictimTask {
  TaskId id;
  Resources resources;
  double loss;
};

/// A machine on which the job could run, if victims are stopped there.
struct CandidateMachine {
  MachineId machine_id;
  ZoneId zone;
  Resources free;
  double fetch_seconds = 0;         // until the job's image is there
  std::vector<VictimTask> victims;  // by loss, ascending
};

/// The cheapest way to make room for one task.
struct TaskRoom {
  std::size_t candidate = 0;
  double cost = 0;
  std::size_t victim_count = 0;  // taken from the front of the candidate's victims
};

/// Room for all tasks of a job, and its total cost.
struct JobRoom {
  Preemption preemption;
  double cost = 0;
};

/// True when the zone already has as many of the job's tasks as `spread_zones` allows.
bool zone_is_full(const Demand& demand, const ZoneId& zone) {
  return std::any_of(demand.placed_tasks.begin(), demand.placed_tasks.end(),
                     [&](const ZoneTaskCount& placed) {
                       return placed.zone == zone && placed.tasks >= max_tasks_in_zone(*demand.job);
                     });
}

/// Collects the machines on which a job could run, with their possible victims.
class CandidateSearch {
 public:
  CandidateSearch(const QueueItem& item, const std::unordered_set<JobId>& guaranteed,
                  const Records& records, const Settings& settings, const Profile& profile,
                  WallTime now)
      : item_(item),
        spec_(*item.demand.job),
        guaranteed_(guaranteed),
        records_(records),
        settings_(settings),
        profile_(profile),
        now_(now) {}

  std::vector<CandidateMachine> run(const std::set<MachineId>& excluded);
  /// The resources that the job's team uses on all machines. Valid after `run`.
  [[nodiscard]] const Resources& team_used() const { return team_used_; }

 private:
  [[nodiscard]] bool is_usable(const MachineRecord& machine, const MachineType& type) const;
  void add_placed_tasks(CandidateMachine& candidate, const MachineType& type);
  [[nodiscard]] bool may_preempt(const JobId& job_id, const JobSpec& other) const;
  [[nodiscard]] double loss_of(const JobSpec& other, const TaskRecord& task,
                               const MachineType& type) const;

  const QueueItem& item_;
  const JobSpec& spec_;
  const std::unordered_set<JobId>& guaranteed_;
  const Records& records_;
  const Settings& settings_;
  const Profile& profile_;
  WallTime now_;
  Resources team_used_{};
};

std::vector<CandidateMachine> CandidateSearch::run(const std::set<MachineId>& excluded) {
  std::vector<CandidateMachine> candidates;
  for (const auto& [machine_id, stored] : records_.machines) {
    const MachineRecord& machine = stored.record;
    const MachineType* type = records_.type(machine.machine_type);
    if (type == nullptr) continue;
    CandidateMachine candidate{machine_id, machine.zone, type->resources, 0, {}};
    const auto index = profile_.find(machine_id);
    if (index) {
      candidate.fetch_seconds = to_seconds(Profile::fetch_time(spec_, profile_.machines()[*index]));
    }
    add_placed_tasks(candidate, *type);
    if (!index || excluded.contains(machine_id) || !is_usable(machine, *type)) continue;
    std::sort(candidate.victims.begin(), candidate.victims.end(),
              [](const VictimTask& a, const VictimTask& b) { return a.loss < b.loss; });
    candidates.push_back(std::move(candidate));
  }
  return candidates;
}

bool CandidateSearch::is_usable(const MachineRecord& machine, const MachineType& type) const {
  if (machine.state != MachineState::up || machine.reclaim_at) return false;
  PlanMachine properties;
  properties.machine_type = machine.machine_type;
  properties.zone = machine.zone;
  properties.spot = machine.spot;
  properties.resources = type.resources;
  if (!Profile::allowed(spec_, properties)) return false;
  if (item_.demand.zone && *item_.demand.zone != machine.zone) return false;
  return !zone_is_full(item_.demand, machine.zone);
}

void CandidateSearch::add_placed_tasks(CandidateMachine& candidate, const MachineType& type) {
  const auto placed = records_.placed.find(candidate.machine_id);
  if (placed == records_.placed.end()) return;
  for (const auto& [id, attempt] : placed->second) {
    const JobRecord* other = records_.job(id.job_id);
    const TaskRecord* task = records_.task(id);
    if (other == nullptr || task == nullptr) continue;
    candidate.free -= other->spec.need;
    if (other->spec.team == spec_.team) team_used_ += other->spec.need;
    // A task that is being stopped counts as free capacity, so that no second victim is chosen for
    // the same room.
    if (task->stop) {
      candidate.free += other->spec.need;
      continue;
    }
    if (!may_preempt(id.job_id, other->spec)) continue;
    candidate.victims.push_back({id, other->spec.need, loss_of(other->spec, *task, type)});
  }
}

bool CandidateSearch::may_preempt(const JobId& job_id, const JobSpec& other) const {
  if (other.gang() && other.task_count > 1) return false;
  if (other.urgency < spec_.urgency) return true;
  return item_.guaranteed && other.team != spec_.team && !guaranteed_.contains(job_id);
}

double CandidateSearch::loss_of(const JobSpec& other, const TaskRecord& task,
                                const MachineType& type) const {
  // The cost of a restart: the unsaved work or the time to save it, possibly another image fetch,
  // and the wait of the victim.
  const Duration run_time =
      task.running_since == WallTime{} ? Duration{0} : now_ - task.running_since;
  double loss =
      other.checkpoint_interval > Duration{0} ? to_seconds(other.save_time) : to_seconds(run_time);
  loss += (type.pull_gb_per_s > 0 ? other.image_gb / type.pull_gb_per_s : 0) * kRefetchChance;
  if (!other.deadline) loss += kNoDeadlineLossSeconds;
  if (run_time < kRecentStart) loss += kRecentStartLossSeconds;
  const Team* team = settings_.team(other.team);
  if (team != nullptr && !team->has_guarantee()) loss *= kNoGuaranteeLossWeight;
  return loss;
}

/// The cost of making room for one task on the candidate. Returns nothing when even stopping all
/// its victims leaves too little room.
std::optional<TaskRoom> cost_of_room(const CandidateMachine& candidate, const Resources& need) {
  TaskRoom room;
  Resources free = candidate.free;
  room.cost = candidate.fetch_seconds * kFetchWeight;
  for (const VictimTask& victim : candidate.victims) {
    if (fits(need, free)) break;
    free += victim.resources;
    room.cost += victim.loss + kPerVictimLossSeconds;
    ++room.victim_count;
  }
  if (!fits(need, free)) return std::nullopt;
  return room;
}

std::optional<TaskRoom> cheapest_room(const std::vector<CandidateMachine>& candidates,
                                      const Resources& need) {
  std::optional<TaskRoom> cheapest;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    auto room = cost_of_room(candidates[i], need);
    if (!room || (cheapest && room->cost >= cheapest->cost)) continue;
    cheapest = room;
    cheapest->candidate = i;
  }
  return cheapest;
}

/// Makes room for `tasks` tasks, each on the candidate where room costs least. Returns nothing when
/// not all tasks get room.
std::optional<JobRoom> make_room(std::vector<CandidateMachine> candidates, const Resources& need,
                                 std::uint32_t tasks) {
  JobRoom out;
  for (std::uint32_t task = 0; task < tasks; ++task) {
    const auto room = cheapest_room(candidates, need);
    if (!room) return std::nullopt;
    CandidateMachine& candidate = candidates[room->candidate];
    for (std::size_t n = room->victim_count; n-- > 0;) {
      const VictimTask& victim = candidate.victims[n];
      out.preemption.victims.push_back(victim.id);
      candidate.free += victim.resources;
    }
    candidate.victims.erase(
        candidate.victims.begin(),
        candidate.victims.begin() + static_cast<std::ptrdiff_t>(room->victim_count));
    candidate.free -= need;
    out.preemption.machine_ids.push_back(candidate.machine_id);
    out.cost += room->cost;
  }
  return out;
}

std::vector<CandidateMachine> in_zone(const std::vector<CandidateMachine>& candidates,
                                      const ZoneId& zone) {
  std::vector<CandidateMachine> out;
  for (const CandidateMachine& candidate : candidates) {
    if (candidate.zone == zone) out.push_back(candidate);
  }
  return out;
}

/// Makes room in the zone where room for all tasks costs least. Returns nothing when no zone can
/// have room, or when a zone has room without a victim.
std::optional<Preemption> make_room_in_one_zone(const std::vector<CandidateMachine>& candidates,
                                                const std::vector<ZoneId>& zones,
                                                const Resources& need, std::uint32_t tasks) {
  std::optional<JobRoom> best;
  for (const ZoneId& zone : zones) {
    auto room = make_room(in_zone(candidates, zone), need, tasks);
    if (!room) continue;
    if (room->preemption.victims.empty())
      return std::nullopt;  // room is free or being vacated already
    if (!best || room->cost < best->cost) best = std::move(room);
  }
  if (!best) return std::nullopt;
  return std::move(best->preemption);
}

}  // namespace

std::optional<Preemption> select_victims(const QueueItem& item,
                                         const std::unordered_set<JobId>& guaranteed,
                                         const Records& records, const Settings& settings,
                                         const Profile& profile, WallTime now,
                                         const std::set<MachineId>& excluded) {
  const JobSpec& spec = *item.demand.job;
  CandidateSearch search(item, guaranteed, records, settings, profile, now);
  std::vector<CandidateMachine> candidates = search.run(excluded);
  const std::uint32_t tasks = spec.gang() ? item.demand.tasks : 1;
  const Team* team = settings.team(spec.team);
  const Resources all = spec.need * static_cast<double>(tasks);
  if (team != nullptr && !fits(search.team_used() + all, team->limit())) return std::nullopt;
  if (spec.single_zone) return make_room_in_one_zone(candidates, settings.zones, spec.need, tasks);
  auto room = make_room(std::move(candidates), spec.need, tasks);
  if (!room || room->preemption.victims.empty()) return std::nullopt;
  return std::move(room->preemption);
}

}  // namespace marblevale
