// Durations and points in time. Local waits use the steady clock. Times that are exchanged between
// machines use the wall clock. `Clock` is an interface, so that tests can use a fake clock.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblevale {

using Duration = std::chrono::milliseconds;

// NOLINTBEGIN(readability-identifier-naming): names that the standard requires of a clock.

/// The clock of `SteadyTime`: monotonic, and meaningless to another process.
struct SteadyClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
};

/// The clock of `WallTime`: the time of day. The clocks of two machines differ by at most
/// `Settings::clock_error`.
struct WallClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<WallClock>;
  static constexpr bool is_steady = false;
};

// NOLINTEND(readability-identifier-naming)

using SteadyTime = SteadyClock::time_point;
using WallTime = WallClock::time_point;

/// Earlier than any reading of the steady clock. As the time of the last run of a repeated action,
/// it makes the first run due at once.
inline constexpr SteadyTime kLongAgo{Duration{-1'000'000}};

/// Truncates to whole milliseconds.
constexpr Duration from_seconds(double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1000.0)};
}

constexpr double to_seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

/// Truncates to whole seconds.
constexpr std::int64_t whole_seconds(Duration duration) { return duration.count() / 1000; }

/// Multiplies a duration by `factor` and truncates to whole milliseconds.
constexpr Duration scaled(Duration duration, double factor) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

/// Milliseconds since the Unix epoch, the form in which wall-clock times are stored and sent.
constexpr std::int64_t unix_milliseconds(WallTime time) { return time.time_since_epoch().count(); }

constexpr WallTime from_unix_milliseconds(std::int64_t milliseconds) {
  return WallTime{Duration{milliseconds}};
}

/// The smallest multiple of `step` that is at least `duration`.
constexpr Duration round_up(Duration duration, Duration step) {
  return (duration + step - Duration{1}) / step * step;
}

/// The first multiple of `step`, counted from the Unix epoch, that is not before `time`.
constexpr WallTime round_up(WallTime time, Duration step) {
  return WallTime{round_up(time.time_since_epoch(), step)};
}

/// Deleted, because the standard library's operator gives fractions of milliseconds. Use `scaled`.
Duration operator*(Duration, double) = delete;

/// A source of steady and wall-clock times.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual SteadyTime steady() const = 0;
  [[nodiscard]] virtual WallTime wall() const = 0;
};

}  // namespace marblevale
