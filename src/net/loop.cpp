#include "net/loop.hpp"

#include <ctime>
#include <stdexcept>

namespace marblevale {

namespace {
std::int64_t read_clock(clockid_t id) {
  timespec ts{};
  clock_gettime(id, &ts);
  return static_cast<std::int64_t>(ts.tv_sec) * 1000 + ts.tv_nsec / 1'000'000;
}
}  // namespace

SteadyTime SystemClock::steady() const { return SteadyTime{Duration{read_clock(CLOCK_MONOTONIC)}}; }
WallTime SystemClock::wall() const { return WallTime{Duration{read_clock(CLOCK_REALTIME)}}; }

Loop::Loop(TimerQueue* timers) : base_(event_base_new(), &event_base_free), timers_(timers) {
  if (!base_) throw std::runtime_error("libevent gave no event base");
}

void Loop::run() { event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY); }

Timer::Timer(Loop& loop, std::function<void()> action)
    : action_(std::move(action)),
      queue_(loop.timers()),
      event_(
          event_new(
              loop.base(), -1, 0,
              [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->fire(); }, this),
          &event_free) {}

Timer::~Timer() {
  if (queue_ != nullptr) queue_->disarm(*this);
}

void Timer::start(Duration delay) {
  const std::int64_t ms = delay.count() < 0 ? 0 : delay.count();
  if (queue_ != nullptr) {
    queue_->arm(*this, Duration{ms});
    return;
  }
  timeval tv{static_cast<time_t>(ms / 1000), static_cast<suseconds_t>(ms % 1000 * 1000)};
  event_add(event_.get(), &tv);
}

void Timer::stop() {
  if (queue_ != nullptr) {
    queue_->disarm(*this);
  } else {
    event_del(event_.get());
  }
}

bool Timer::pending() const {
  return queue_ != nullptr ? queue_->armed(*this)
                           : event_pending(event_.get(), EV_TIMEOUT, nullptr) != 0;
}

}  // namespace marblevale
