#include "scheduling/array_search.hpp"

#include <algorithm>

#include "scheduling/placement_score.hpp"
#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
constexpr std::size_t kExtraStepsPerTask = 4;
}  // namespace

ArraySearch::ArraySearch(const Profile& profile, const Demand& demand,
                         const std::optional<ZoneId>& zone)
    : profile_(profile), demand_(demand), zone_(zone) {
  const ResourceTimeline* limit = profile.team_timeline(demand.job->team);
  if (limit != nullptr) team_limit_ = *limit;
  for (const ZoneTaskCount& placed : demand.placed_tasks) {
    tasks_in_zone_[placed.zone] += placed.tasks;
  }
}

std::optional<Plan> ArraySearch::earliest(WallTime from) {
  const JobSpec& job = *demand_.job;
  profile_.for_each_allowed_machine(demand_, zone_, [&](std::size_t machine) {
    const Duration fetch = Profile::fetch_time(job, profile_.machines()[machine]);
    push_slot(machine, planned_run(demand_, fetch), from);
  });
  const std::size_t max_steps = kMaxSearchSteps + kExtraStepsPerTask * demand_.tasks;
  for (std::size_t step = 0; plan_.placements.size() < demand_.tasks; ++step) {
    if (slots_.empty() || step > max_steps) return std::nullopt;
    const Slot slot = slots_.top();
    slots_.pop();
    if (zone_is_full(slot)) continue;
    if (!team_can_fit(slot)) {
      const auto later = team_limit_->earliest_fit(job.need, slot.free_at, slot.run);
      if (later) push_slot(slot.machine, slot.run, *later);
      continue;
    }
    place_on(slot);
    push_slot(slot.machine, slot.run, from);
  }
  return std::move(plan_);
}

const ResourceTimeline& ArraySearch::timeline_of(std::size_t machine) const {
  const auto it = changed_timelines_.find(machine);
  return it == changed_timelines_.end() ? profile_.timeline(machine) : it->second;
}

void ArraySearch::push_slot(std::size_t machine, Duration run, WallTime at) {
  profile_.count_candidate();
  const ResourceTimeline& timeline = timeline_of(machine);
  const WallTime begin = std::max(at, profile_.machines()[machine].ready);
  const auto free_at = timeline.earliest_fit(demand_.job->need, begin, run);
  if (!free_at) return;
  const Resources free = timeline.capacity() - timeline.running();
  slots_.push({*free_at, placement_score(profile_, demand_, machine, run - demand_.run, free),
               machine, run});
}

bool ArraySearch::zone_is_full(const Slot& slot) {
  const JobSpec& job = *demand_.job;
  return job.spread_zones &&
         tasks_in_zone_[profile_.machines()[slot.machine].zone] >= max_tasks_in_zone(job);
}

bool ArraySearch::team_can_fit(const Slot& slot) const {
  return !team_limit_ ||
         team_limit_->can_fit(demand_.job->need, slot.free_at, slot.free_at + slot.run);
}

void ArraySearch::place_on(const Slot& slot) {
  const WallTime end = slot.free_at + slot.run;
  const Allocation allocation{slot.free_at, end, demand_.job->need, Owner{}};
  if (team_limit_) team_limit_->allocate(allocation);
  changed_timelines_.try_emplace(slot.machine, timeline_of(slot.machine))
      .first->second.allocate(allocation);
  ++tasks_in_zone_[profile_.machines()[slot.machine].zone];
  plan_.placements.push_back({slot.machine, slot.free_at, end});
}

}  // namespace marblevale
