// Room over time on one machine, or within one team's limit, as a function of steps. Pure.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "core/ids.hpp"
#include "core/resources.hpp"
#include "core/time.hpp"

namespace marblevale {

using Owner = StrongType<struct OwnerTag, std::uint64_t>;

/// Room that is taken for a while. What runs now has begun at time 0.
struct Allocation {
  WallTime from;
  WallTime to;
  Resources resources;
  Owner owner;
};

/// One machine, or one team's limit, over time: a function of steps, so that a question walks over
/// the steps that it touches, once.
class ResourceTimeline {
 public:
  explicit ResourceTimeline(Resources whole) : capacity_(whole) {}
  void allocate(const Allocation& allocation);
  void release(Owner owner);
  [[nodiscard]] const Resources& capacity() const { return capacity_; }
  [[nodiscard]] const std::vector<Allocation>& allocations() const { return allocations_; }
  /// The least that is free at any moment of [from, to).
  [[nodiscard]] Resources free(WallTime from, WallTime to) const;
  [[nodiscard]] bool can_fit(const Resources& need, WallTime from, WallTime to) const;
  /// The first moment from `from` on at which `need` fits for `run`.
  [[nodiscard]] std::optional<WallTime> earliest_fit(const Resources& need, WallTime from,
                                                     Duration run) const;
  /// True when what the owner has taken fits along with all else.
  [[nodiscard]] bool allocations_fit(Owner owner) const;
  /// The first moment after `at` at which something changes.
  [[nodiscard]] std::optional<WallTime> next_change_after(WallTime at) const;
  /// Quick and certain: what runs at `at` leaves no room for `need`, whatever is reserved.
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
  void drop_if_level(std::size_t step);
  std::size_t cut_at(WallTime at);
  [[nodiscard]] std::size_t step_at(WallTime at) const;

  // First what `no_room_beside_running` reads, so that a search over a cluster touches little
  // memory.
  Resources capacity_;
  Resources running_{};     // of what has begun
  WallTime running_until_;  // when the first of that ends; 0: nothing has begun
  Resources total_{};       // of all that is taken, at whatever time
  std::vector<Allocation> allocations_;
  std::vector<Step> steps_;  // by time; before the first and after the last nothing is used
};

}  // namespace marblevale
