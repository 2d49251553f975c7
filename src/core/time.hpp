// Durations and points in time. Local waits use the steady clock; times that cross machines use the
// wall clock. The clock is an interface, so that tests run on a fake one.
#pragma once

#include <chrono>
#include <cstdint>

namespace marblevale {

using Duration = std::chrono::milliseconds;

// NOLINTBEGIN(readability-identifier-naming): the names that the standard asks of a clock.

/// The clock of `SteadyTime`: monotonic, and meaningless to another process.
struct SteadyClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<SteadyClock>;
  static constexpr bool is_steady = true;
};

/// The clock of `WallTime`: the time of day, which differs between machines by the settings'
/// `clock_error` at most.
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

/// Earlier than any reading of the steady clock: what was last done then is due.
inline constexpr SteadyTime kLongAgo{Duration{-1'000'000}};

/// Cut to whole milliseconds.
constexpr Duration from_seconds(double seconds) {
  return Duration{static_cast<std::int64_t>(seconds * 1000.0)};
}

constexpr double to_seconds(Duration duration) {
  return static_cast<double>(duration.count()) / 1000.0;
}

/// Cut to whole seconds.
constexpr std::int64_t whole_seconds(Duration duration) { return duration.count() / 1000; }

/// A multiple of a duration, cut to whole milliseconds.
constexpr Duration scaled(Duration duration, double factor) {
  return Duration{static_cast<std::int64_t>(static_cast<double>(duration.count()) * factor)};
}

/// The form in which wall-clock times are stored and sent.
constexpr std::int64_t unix_milliseconds(WallTime time) { return time.time_since_epoch().count(); }

constexpr WallTime from_unix_milliseconds(std::int64_t milliseconds) {
  return WallTime{Duration{milliseconds}};
}

/// The least multiple of `step` that is no shorter.
constexpr Duration round_up(Duration duration, Duration step) {
  return (duration + step - Duration{1}) / step * step;
}

/// The first multiple of `step`, counted from the Unix epoch, that is no earlier.
constexpr WallTime round_up(WallTime time, Duration step) {
  return WallTime{round_up(time.time_since_epoch(), step)};
}

/// Deleted: the standard library would give fractions of milliseconds. Use `scaled`.
Duration operator*(Duration, double) = delete;

/// A source of both times.
class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual SteadyTime steady() const = 0;
  [[nodiscard]] virtual WallTime wall() const = 0;
};

}  // namespace marblevale
