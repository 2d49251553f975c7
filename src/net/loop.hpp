// The event loop: libevent's base, timers that end with their owner, and the real clocks.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "core/metrics.hpp"
#include "core/time.hpp"

namespace marblevale {

class SystemClock : public Clock {
 public:
  [[nodiscard]] SteadyTime steady() const override;
  [[nodiscard]] WallTime wall() const override;
};

class Timer;

/// Where timers run; the tests put a fake clock here.
class TimerQueue {
 public:
  virtual ~TimerQueue() = default;
  virtual void arm(Timer& timer, Duration after) = 0;
  virtual void disarm(Timer& timer) = 0;
  [[nodiscard]] virtual bool armed(const Timer& timer) const = 0;
};

class Loop {
 public:
  explicit Loop(TimerQueue* timers = nullptr);
  [[nodiscard]] event_base* base() const { return base_.get(); }
  [[nodiscard]] TimerQueue* timers() const { return timers_; }
  /// Where those who run on this loop tell what they spend.
  [[nodiscard]] Metrics& metrics() { return metrics_; }
  void run();

 private:
  std::unique_ptr<event_base, decltype(&event_base_free)> base_;
  TimerQueue* timers_;
  Metrics metrics_;
};

/// A timer that can be set again; it never fires after it is destroyed.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void start(Duration after);
  void stop();
  [[nodiscard]] bool pending() const;
  void fire() { action_(); }

 private:
  std::function<void()> action_;
  TimerQueue* queue_;
  std::unique_ptr<event, decltype(&event_free)> event_;
};

}  // namespace marblevale
