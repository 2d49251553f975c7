/// The use of one machine's capacity, or of one team's limit, over time, as a step function. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Identifies the holder of allocations: a job's reservation, the tasks of a job started in this
/// round, or the running tasks of a slice.
using Owner = StrongType<struct OwnerTag, std::uint64_t>;

/// Capacity that is in use from `from` to `to`. Running tasks have `from` 0, so that they count as
/// begun at every moment. A separate member would cost memory, as there are very many allocations.
struct Allocation {
  WallTime from;
  WallTime to;
  Resources resources;
  Owner owner;
};

/// The allocations of one machine, or of one team, over time. A query visits each step in its time
/// span once.
class ResourceTimeline {
 public:
  explicit ResourceTimeline(Resources capacity) : capacity_(capacity) {}
  void allocate(const Allocation& allocation);
  void release(Owner owner);
  [[nodiscard]] const Resources& capacity() const { return capacity_; }
  [[nodiscard]] const std::vector<Allocation>& allocations() const { return allocations_; }
  /// The resources that are free during all of [from, to): for each resource, the least at any
  /// moment.
  [[nodiscard]] Resources free(WallTime from, WallTime to) const;
  /// True when `need` is free during all of [from, to).
  [[nodiscard]] bool can_fit(const Resources& need, WallTime from, WallTime to) const;
  /// The first moment at or after `from` from which `need` fits for `run`. Nothing when `need`
  /// exceeds the capacity.
  [[nodiscard]] std::optional<WallTime> earliest_fit(const Resources& need, WallTime from,
                                                     Duration run) const;
  /// True when the capacity is not exceeded at any time of the owner's allocations.
  [[nodiscard]] bool allocations_fit(Owner owner) const;
  /// The first moment after `at` at which the used resources change.
  [[nodiscard]] std::optional<WallTime> next_change_after(WallTime at) const;
  /// Fast check that ignores reservations. Returns true when the tasks running at `at` leave no
  /// room for `need`; false does not mean that there is room.
  [[nodiscard]] bool no_room_beside_running(const Resources& need, WallTime at) const {
    return at < running_until_ && !fits(need, capacity_ - running_);
  }
  /// The resources of the running tasks.
  [[nodiscard]] const Resources& running() const { return running_; }

 private:
  /// The resources used from `from` until the next step.
  struct Step {
    WallTime from;
    Resources used;
  };
  void add(const Allocation& allocation, double sign);
  /// Removes the step if the used resources don't change there.
  void erase_step_if_unchanged(std::size_t step);
  std::size_t split_step_at(WallTime at);
  [[nodiscard]] std::size_t step_at(WallTime at) const;

  // The members that `no_room_beside_running` reads come first, so that a search over a cluster
  // touches little memory.
  Resources capacity_;
  Resources running_{};     // of running tasks
  WallTime running_until_;  // earliest end of a running task; 0 without one
  Resources total_{};       // sum of all allocations, regardless of time
  std::vector<Allocation> allocations_;
  std::vector<Step> steps_;  // by time; nothing is used before the first and after the last
};

}  // namespace marblevale
