// Clock and timers under the control of a test.
#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

#include "core/time.hpp"
#include "net/loop.hpp"

namespace marblevale::testing {

/// Both clocks advance only when the test advances them; timers that fall due on the way fire in
/// order.
class FakeTime : public Clock, public TimerQueue {
 public:
  [[nodiscard]] SteadyTime steady() const override { return SteadyTime{Duration{now_}}; }
  [[nodiscard]] WallTime wall() const override { return from_unix_milliseconds(now_ + 1'000'000); }

  void arm(Timer& timer, Duration after) override {
    disarm(timer);
    due_.emplace(std::make_pair(now_ + after.count(), serial_++), &timer);
  }
  void disarm(Timer& timer) override {
    std::erase_if(due_, [&](const auto& entry) { return entry.second == &timer; });
  }
  [[nodiscard]] bool armed(const Timer& timer) const override {
    return std::any_of(due_.begin(), due_.end(),
                       [&](const auto& entry) { return entry.second == &timer; });
  }

  void advance(Duration by) {
    const std::int64_t until = now_ + by.count();
    while (!due_.empty() && due_.begin()->first.first <= until) {
      now_ = std::max(now_, due_.begin()->first.first);
      Timer* timer = due_.begin()->second;
      due_.erase(due_.begin());
      timer->fire();
    }
    now_ = until;
  }

  /// The process is paused: the clocks run on and no timer fires, so that all of them are overdue.
  void pause_process(Duration duration) { now_ += duration.count(); }

 private:
  std::int64_t now_ = 10'000'000;
  std::uint64_t serial_ = 0;
  std::map<std::pair<std::int64_t, std::uint64_t>, Timer*> due_;
};

/// Advances the clock by `duration` in steps of 10 ms and calls `after_step` after each of them.
template <typename Action>
void advance_in_steps(FakeTime& time, Duration duration, const Action& after_step) {
  constexpr Duration kStep{10};
  for (Duration passed{}; passed < duration; passed += kStep) {
    time.advance(kStep);
    after_step();
  }
}

}  // namespace marblevale::testing
