// Amounts of the resources that tasks use and machines have.
#pragma once

#include <algorithm>

namespace marblevale {

/// An amount of each resource. `tasks` counts tasks: a machine can take only as many as it can
/// report, however small they are.
struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;
  double tasks = 0;

  Resources& operator+=(const Resources& other) {
    cpus += other.cpus;
    gpus += other.gpus;
    memory_gb += other.memory_gb;
    tasks += other.tasks;
    return *this;
  }
  Resources& operator-=(const Resources& other) {
    cpus -= other.cpus;
    gpus -= other.gpus;
    memory_gb -= other.memory_gb;
    tasks -= other.tasks;
    return *this;
  }
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(const Resources& amount, double factor) {
    return {amount.cpus * factor, amount.gpus * factor, amount.memory_gb * factor,
            amount.tasks * factor};
  }
};

/// The rounding error that is allowed in sums of decimal amounts.
inline constexpr double kResourceTolerance = 1e-6;

/// True when `need` fits into `have`, up to the tolerance.
inline bool fits(const Resources& need, const Resources& have) {
  return need.cpus <= have.cpus + kResourceTolerance &&
         need.gpus <= have.gpus + kResourceTolerance &&
         need.memory_gb <= have.memory_gb + kResourceTolerance &&
         need.tasks <= have.tasks + kResourceTolerance;
}

/// The smaller of the two amounts of each resource.
inline Resources min_per_resource(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb),
          std::min(a.tasks, b.tasks)};
}

/// The largest fraction that `amount` takes of the CPUs, accelerators or memory in `whole`. Ignores
/// resources of which `whole` has none.
inline double dominant_share(const Resources& amount, const Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, amount.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, amount.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, amount.memory_gb / whole.memory_gb);
  return share;
}

}  // namespace marblevale
