#include "scheduling/resource_timeline.hpp"

#include <algorithm>
#include <cmath>

namespace marblevale {

namespace {
constexpr double kRoundingTolerance = 1e-7;  // largest remainder of rounding errors

Resources componentwise_max(const Resources& a, const Resources& b) {
  return {std::max(a.cpus, b.cpus), std::max(a.gpus, b.gpus), std::max(a.memory_gb, b.memory_gb)};
}
}  // namespace

std::size_t ResourceTimeline::step_at(WallTime at) const {
  // Returns the step that covers `at`, or the number of steps if `at` is before the first.
  const auto after = std::upper_bound(steps_.begin(), steps_.end(), at,
                                      [](WallTime t, const Step& step) { return t < step.from; });
  return after == steps_.begin() ? steps_.size()
                                 : static_cast<std::size_t>(after - steps_.begin()) - 1;
}

std::size_t ResourceTimeline::split_step_at(WallTime at) {
  const auto it = std::lower_bound(steps_.begin(), steps_.end(), at,
                                   [](const Step& step, WallTime t) { return step.from < t; });
  const auto index = it - steps_.begin();
  if (it == steps_.end() || it->from != at) {
    const Resources used = it == steps_.begin() ? Resources{} : std::prev(it)->used;
    steps_.insert(it, Step{at, used});
  }
  return static_cast<std::size_t>(index);
}

void ResourceTimeline::add(const Allocation& allocation, double sign) {
  if (allocation.to <= allocation.from) return;
  const std::size_t begin = split_step_at(allocation.from);
  const std::size_t end = split_step_at(allocation.to);
  const Resources change = allocation.resources * sign;
  for (std::size_t i = begin; i < end; ++i) steps_[i].used += change;
  total_ += change;
  // All steps in between change equally, so only the steps at the borders can have become
  // redundant.
  erase_step_if_unchanged(end);
  erase_step_if_unchanged(begin);
}

void ResourceTimeline::erase_step_if_unchanged(std::size_t step) {
  const auto is_negligible = [](double x) { return std::abs(x) < kRoundingTolerance; };
  const Resources before = step == 0 ? Resources{} : steps_[step - 1].used;
  const Resources change = steps_[step].used - before;
  if (is_negligible(change.cpus) && is_negligible(change.gpus) && is_negligible(change.memory_gb)) {
    steps_.erase(steps_.begin() + static_cast<std::ptrdiff_t>(step));
  }
}

void ResourceTimeline::allocate(const Allocation& allocation) {
  allocations_.push_back(allocation);
  add(allocation, 1);
  if (allocation.from == WallTime{}) {
    running_until_ =
        running_until_ == WallTime{} ? allocation.to : std::min(running_until_, allocation.to);
    running_ += allocation.resources;
  }
}

void ResourceTimeline::release(Owner owner) {
  bool was_running = false;
  for (std::size_t i = allocations_.size(); i-- > 0;) {
    if (allocations_[i].owner != owner) continue;
    add(allocations_[i], -1);
    was_running = was_running || allocations_[i].from == WallTime{};
    allocations_[i] = allocations_.back();
    allocations_.pop_back();
  }
  if (allocations_.empty()) {
    steps_.clear();
    total_ = Resources{};
  }
  if (!was_running) return;
  running_ = Resources{};
  running_until_ = WallTime{};
  for (const Allocation& t : allocations_) {
    if (t.from != WallTime{}) continue;
    running_until_ = running_until_ == WallTime{} ? t.to : std::min(running_until_, t.to);
    running_ += t.resources;
  }
}

Resources ResourceTimeline::free(WallTime from, WallTime to) const {
  Resources peak_use{};
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < to; ++i)
    peak_use = componentwise_max(peak_use, steps_[i].used);
  return capacity_ - peak_use;
}

bool ResourceTimeline::can_fit(const Resources& need, WallTime from, WallTime to) const {
  if (fits(need + total_, capacity_)) return true;
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < to; ++i) {
    if (!fits(need + steps_[i].used, capacity_)) return false;
  }
  return true;
}

std::optional<WallTime> ResourceTimeline::earliest_fit(const Resources& need, WallTime from,
                                                       Duration run) const {
  if (!fits(need, capacity_)) return std::nullopt;
  if (fits(need + total_, capacity_)) return from;
  WallTime begin = from;
  std::size_t i = step_at(from);
  if (i == steps_.size()) i = 0;
  for (; i < steps_.size() && steps_[i].from < begin + run; ++i) {
    if (fits(need + steps_[i].used, capacity_)) continue;
    // Too much is used in this step, so the start moves to the next step.
    if (i + 1 == steps_.size())
      return std::nullopt;  // unreachable: nothing is used in the last step
    begin = steps_[i + 1].from;
  }
  return begin;
}

bool ResourceTimeline::allocations_fit(Owner owner) const {
  if (fits(total_, capacity_)) return true;
  return std::all_of(allocations_.begin(), allocations_.end(), [&](const Allocation& t) {
    return t.owner != owner || can_fit(Resources{}, t.from, t.to);
  });
}

std::optional<WallTime> ResourceTimeline::next_change_after(WallTime at) const {
  const auto after = std::upper_bound(steps_.begin(), steps_.end(), at,
                                      [](WallTime t, const Step& step) { return t < step.from; });
  if (after == steps_.end()) return std::nullopt;
  return after->from;
}

}  // namespace marblevale
