#include "scheduling/gang_search.hpp"

#include <algorithm>

#include "scheduling/placement_score.hpp"
#include "scheduling/placement_search.hpp"

namespace marblevale {

namespace {
// Compares as later than any real moment. An optional would need a special case in every comparison
// of the search.
constexpr WallTime kNever = WallTime::max();
}  // namespace

std::optional<Plan> GangSearch::earliest(WallTime from) {
  collect_slots(from);
  if (slots_.size() < demand_.tasks || demand_.tasks == 0) return std::nullopt;
  const PlacementSearch search(profile_);
  const ResourceTimeline* limit = profile_.team_timeline(demand_.job->team);
  const Resources need_of_all = demand_.job->need * static_cast<double>(demand_.tasks);
  WallTime at = from;
  for (std::size_t step = 0; step < kMaxSearchSteps; ++step) {
    if (limit != nullptr) {
      const auto within_limit = limit->earliest_fit(need_of_all, at, demand_.run);
      if (!within_limit) return std::nullopt;
      at = *within_limit;
    }
    const WallTime enough_at = enough_slots_at(at);
    if (enough_at == kNever) return std::nullopt;
    if (enough_at > at) {
      at = enough_at;
      continue;
    }
    auto plan = search.fit_in_zone(demand_, at, zone_, PlacementSearch::Completeness::all_tasks);
    if (plan) return plan;
    // Enough slots are free now, but not for as long as the gang would run.
    at = next_change_after(at);
    if (at == kNever) return std::nullopt;
  }
  return std::nullopt;
}

void GangSearch::collect_slots(WallTime from) {
  const JobSpec& job = *demand_.job;
  profile_.for_each_allowed_machine(demand_, zone_, [&](std::size_t machine) {
    const PlanMachine& properties = profile_.machines()[machine];
    const Duration run = planned_run(demand_, Profile::fetch_time(job, properties));
    for (std::uint32_t nth = 1; nth <= demand_.tasks; ++nth) {
      if (!fits(job.need * static_cast<double>(nth), properties.resources)) break;
      Slot slot{kNever, machine, nth, run};
      update(slot, from);
      if (slot.free_at == kNever) break;
      slots_.push_back(slot);
    }
  });
}

void GangSearch::update(Slot& slot, WallTime at) const {
  profile_.count_candidate();
  const WallTime begin = std::max(at, profile_.machines()[slot.machine].ready);
  const Resources need = demand_.job->need * static_cast<double>(slot.nth);
  const auto free_at = profile_.timeline(slot.machine).earliest_fit(need, begin, slot.run);
  slot.free_at = free_at.value_or(kNever);
}

WallTime GangSearch::enough_slots_at(WallTime at) {
  for (Slot& slot : slots_) {
    if (slot.free_at < at) update(slot, at);
  }
  const auto last_needed = slots_.begin() + (demand_.tasks - 1);
  std::nth_element(slots_.begin(), last_needed, slots_.end(),
                   [](const Slot& a, const Slot& b) { return a.free_at < b.free_at; });
  return last_needed->free_at;
}

WallTime GangSearch::next_change_after(WallTime at) const {
  WallTime next = kNever;
  for (const Slot& slot : slots_) {
    if (slot.free_at > at) next = std::min(next, slot.free_at);
    if (const auto change = profile_.timeline(slot.machine).next_change_after(at)) {
      next = std::min(next, *change);
    }
  }
  return next;
}

}  // namespace marblevale
