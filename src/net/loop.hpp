// The event loop: libevent's base, timers that end with their owner, and the real clocks.
#pragma once

#include <event2/event.h>

#include <functional>
#include <memory>

#include "core/time.hpp"

namespace marblevale {

class SystemClock : public Clock {
 public:
  [[nodiscard]] Steady steady() const override;
  [[nodiscard]] Wall wall() const override;
};

class Loop {
 public:
  Loop();
  [[nodiscard]] event_base* base() const { return base_.get(); }
  void run();

 private:
  std::unique_ptr<event_base, decltype(&event_base_free)> base_;
};

/// A timer that can be set again; it never fires after it is destroyed.
class Timer {
 public:
  Timer(Loop& loop, std::function<void()> action);
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;
  void start(Span after);
  void stop();
  [[nodiscard]] bool pending() const;

 private:
  std::function<void()> action_;
  std::unique_ptr<event, decltype(&event_free)> event_;
};

}  // namespace marblevale
