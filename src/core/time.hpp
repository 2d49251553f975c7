// Times: spans, points of the steady clock (local waits) and of the time of day (what crosses
// machines). The clock is an interface so that tests run on a fake one.
#pragma once

#include <compare>
#include <cstdint>

namespace marblevale {

struct Duration {
  std::int64_t ms = 0;
  auto operator<=>(const Duration&) const = default;
  friend Duration operator+(Duration a, Duration b) { return {a.ms + b.ms}; }
  friend Duration operator-(Duration a, Duration b) { return {a.ms - b.ms}; }
  friend Duration operator*(Duration a, double f) {
    return {static_cast<std::int64_t>(static_cast<double>(a.ms) * f)};
  }
  [[nodiscard]] double seconds() const { return static_cast<double>(ms) / 1000.0; }
};

/// The least multiple of `step` that is no shorter.
inline Duration round_up(Duration duration, Duration step) {
  return {(duration.ms + step.ms - 1) / step.ms * step.ms};
}

inline Duration from_seconds(double s) { return {static_cast<std::int64_t>(s * 1000.0)}; }

template <typename Tag>
struct TimePoint {
  std::int64_t ms = 0;
  auto operator<=>(const TimePoint&) const = default;
  friend TimePoint operator+(TimePoint a, Duration b) { return {a.ms + b.ms}; }
  friend TimePoint operator-(TimePoint a, Duration b) { return {a.ms - b.ms}; }
  friend Duration operator-(TimePoint a, TimePoint b) { return {a.ms - b.ms}; }
};

using SteadyTime = TimePoint<struct SteadyTimeTag>;
using WallTime = TimePoint<struct WallTimeTag>;

/// The first multiple of `step`, counted from time 0, that is no earlier.
inline WallTime round_up(WallTime time, Duration step) {
  return {(time.ms + step.ms - 1) / step.ms * step.ms};
}

class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual SteadyTime steady() const = 0;
  [[nodiscard]] virtual WallTime wall() const = 0;
};

}  // namespace marblevale
