// Times: spans, points of the steady clock (local waits) and of the time of day (what crosses
// machines). The clock is an interface so that tests run on a fake one.
#pragma once

#include <compare>
#include <cstdint>

namespace marblevale {

struct Span {
  std::int64_t ms = 0;
  auto operator<=>(const Span&) const = default;
  friend Span operator+(Span a, Span b) { return {a.ms + b.ms}; }
  friend Span operator-(Span a, Span b) { return {a.ms - b.ms}; }
  friend Span operator*(Span a, double f) {
    return {static_cast<std::int64_t>(static_cast<double>(a.ms) * f)};
  }
  [[nodiscard]] double seconds() const { return static_cast<double>(ms) / 1000.0; }
};

inline Span from_seconds(double s) { return {static_cast<std::int64_t>(s * 1000.0)}; }

template <typename Tag>
struct Point {
  std::int64_t ms = 0;
  auto operator<=>(const Point&) const = default;
  friend Point operator+(Point a, Span b) { return {a.ms + b.ms}; }
  friend Point operator-(Point a, Span b) { return {a.ms - b.ms}; }
  friend Span operator-(Point a, Point b) { return {a.ms - b.ms}; }
};

using Steady = Point<struct SteadyTag>;
using Wall = Point<struct WallTag>;

class Clock {
 public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual Steady steady() const = 0;
  [[nodiscard]] virtual Wall wall() const = 0;
};

}  // namespace marblevale
