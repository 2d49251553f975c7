/// Capacity over time of one machine, or of one team's limit, as a step function. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace marblevale {

/// Names whose allocations they are: a job's reservation, or what runs of a slice.
using Owner = StrongType<struct OwnerTag, std::uint64_t>;

/// Capacity that is in use for a while. What runs now has begun at time 0: it then compares as
/// begun at every moment, without a further member in a type of which there are very many.
struct Allocation {
  WallTime from;
  WallTime to;
  Resources resources;
  Owner owner;
};

/// The allocations of one machine, or of one team, over time. A step function: a query walks once
/// over the steps that it touches.
class ResourceTimeline {
 public:
  explicit ResourceTimeline(Resources capacity) : capacity_(capacity) {}
  void allocate(const Allocation& allocation);
  void release(Owner owner);
  [[nodiscard]] const Resources& capacity() const { return capacity_; }
  [[nodiscard]] const std::vector<Allocation>& allocations() const { return allocations_; }
  /// The least that is free at any moment of [from, to).
  [[nodiscard]] Resources free(WallTime from, WallTime to) const;
  /// True when `need` is free during all of [from, to).
  [[nodiscard]] bool can_fit(const Resources& need, WallTime from, WallTime to) const;
  /// The first moment from `from` on at which `need` fits for `run`.
  [[nodiscard]] std::optional<WallTime> earliest_fit(const Resources& need, WallTime from,
                                                     Duration run) const;
  /// True when the owner's allocations fit along with all others.
  [[nodiscard]] bool allocations_fit(Owner owner) const;
  /// The first moment after `at` at which something changes.
  [[nodiscard]] std::optional<WallTime> next_change_after(WallTime at) const;
  /// True: what runs at `at` leaves no room for `need`, whatever is reserved. Quick; false says
  /// nothing.
  [[nodiscard]] bool no_room_beside_running(const Resources& need, WallTime at) const {
    return at < running_until_ && !fits(need, capacity_ - running_);
  }
  /// What runs now.
  [[nodiscard]] const Resources& running() const { return running_; }

 private:
  /// What is used from `from` to the next step.
  struct Step {
    WallTime from;
    Resources used;
  };
  void add(const Allocation& allocation, double sign);
  /// Removes a step at which nothing changes.
  void erase_step_if_unchanged(std::size_t step);
  std::size_t split_step_at(WallTime at);
  [[nodiscard]] std::size_t step_at(WallTime at) const;

  // First what `no_room_beside_running` reads, so that a search over a cluster touches little
  // memory.
  Resources capacity_;
  Resources running_{};  // of what has begun
  WallTime
      running_until_;  // when the first of that ends; 0, and so never later than any time: none
  Resources total_{};  // of all allocations, at whatever time
  std::vector<Allocation> allocations_;
  std::vector<Step> steps_;  // by time; before the first and after the last nothing is used
};

}  // namespace marblevale
