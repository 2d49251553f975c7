// Clock and timers under the control of a test.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "core/time.hpp"
#include "net/loop.hpp"

namespace marblevale::testing {

/// A steady clock and a wall clock that advance only when the test advances them. While they
/// advance, timers fire in the order of their due times.
class FakeTime : public Clock, public TimerQueue {
 public:
  [[nodiscard]] SteadyTime steady() const override { return SteadyTime{Duration{now_ms_}}; }
  [[nodiscard]] WallTime wall() const override {
    return from_unix_milliseconds(now_ms_ + 1'000'000);
  }

  void arm(Timer& timer, Duration after) override {
    disarm(timer);
    due_.emplace(std::make_pair(now_ms_ + after.count(), serial_++), &timer);
  }
  void disarm(Timer& timer) override {
    std::erase_if(due_, [&](const auto& entry) { return entry.second == &timer; });
  }
  [[nodiscard]] bool armed(const Timer& timer) const override {
    return std::any_of(due_.begin(), due_.end(),
                       [&](const auto& entry) { return entry.second == &timer; });
  }

  void advance(Duration by) {
    const std::int64_t until = now_ms_ + by.count();
    while (!due_.empty() && due_.begin()->first.first <= until) {
      now_ms_ = std::max(now_ms_, due_.begin()->first.first);
      Timer* timer = due_.begin()->second;
      due_.erase(due_.begin());
      timer->fire();
    }
    now_ms_ = until;
  }

  /// Simulates a paused process: the clocks advance, but no timer fires. Timers that became due
  /// in the meantime are overdue and fire in the next `advance`.
  void pause_process(Duration duration) { now_ms_ += duration.count(); }

 private:
  std::int64_t now_ms_ = 10'000'000;
  std::uint64_t serial_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Timer*> due_;
};

/// Advances the clock by `duration` in steps of 10 ms and calls `after_step` after each step.
template <typename Action>
void advance_in_steps(FakeTime& time, Duration duration, const Action& after_step) {
  constexpr Duration kStep{10};
  for (Duration passed{}; passed < duration; passed += kStep) {
    time.advance(kStep);
    after_step();
  }
}

}  // namespace marblevale::testing
