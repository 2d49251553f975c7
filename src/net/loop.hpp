// The event loop on libevent, its timers, and the system's clocks.
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

/// Runs timers in place of libevent, so that tests can drive them by a fake clock.
class TimerQueue {
 public:
  virtual ~TimerQueue() = default;
  virtual void arm(Timer& timer, Duration delay) = 0;
  virtual void disarm(Timer& timer) = 0;
  [[nodiscard]] virtual bool armed(const Timer& timer) const = 0;
};

/// The event loop. One thread runs the whole controller on one loop.
class Loop {
 public:
  /// `timers`: runs the timers of this loop and must outlive it. Null: libevent runs them.
  explicit Loop(TimerQueue* timers = nullptr);
  [[nodiscard]] event_base* base() const { return base_.get(); }
  [[nodiscard]] TimerQueue* timers() const { return timers_; }
  /// The metrics of all components that run on this loop.
  [[nodiscard]] Metrics& metrics() { return metrics_; }
  /// Runs until the event base is stopped.
  void run();

 private:
  std::unique_ptr<event_base, decltype(&event_base_free)> base_;
  TimerQueue* timers_;
  Metrics metrics_;
};

/// A one-shot timer that can be started again. It never fires after its destruction.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> action);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  /// Replaces an earlier start. A negative delay counts as 0.
  void start(Duration delay);
  void stop();
  [[nodiscard]] bool pending() const;
  void fire() { action_(); }

 private:
  std::function<void()> action_;
  TimerQueue* queue_;
  std::unique_ptr<event, decltype(&event_free)> event_;
};

}  // namespace marblevale
