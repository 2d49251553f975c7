#include "core/amounts.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr double kRounding = 1e-6;
}

Resources& Resources::operator+=(const Resources& o) {
  cpus += o.cpus;
  gpus += o.gpus;
  memory_gb += o.memory_gb;
  return *this;
}

Resources& Resources::operator-=(const Resources& o) {
  cpus -= o.cpus;
  gpus -= o.gpus;
  memory_gb -= o.memory_gb;
  return *this;
}

bool fits(const Resources& need, const Resources& have) {
  return need.cpus <= have.cpus + kRounding && need.gpus <= have.gpus + kRounding &&
         need.memory_gb <= have.memory_gb + kRounding;
}

Resources least(const Resources& a, const Resources& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

double share_of(const Resources& amount, const Resources& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, amount.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, amount.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, amount.memory_gb / whole.memory_gb);
  return share;
}

}  // namespace marblevale
