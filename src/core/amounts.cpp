#include "core/amounts.hpp"

#include <algorithm>

namespace marblevale {

namespace {
constexpr double kRounding = 1e-6;
}

Room& Room::operator+=(const Room& o) {
  cpus += o.cpus;
  gpus += o.gpus;
  memory_gb += o.memory_gb;
  return *this;
}

Room& Room::operator-=(const Room& o) {
  cpus -= o.cpus;
  gpus -= o.gpus;
  memory_gb -= o.memory_gb;
  return *this;
}

bool fits(const Room& need, const Room& have) {
  return need.cpus <= have.cpus + kRounding && need.gpus <= have.gpus + kRounding &&
         need.memory_gb <= have.memory_gb + kRounding;
}

Room least(const Room& a, const Room& b) {
  return {std::min(a.cpus, b.cpus), std::min(a.gpus, b.gpus), std::min(a.memory_gb, b.memory_gb)};
}

double share_of(const Room& part, const Room& whole) {
  double share = 0;
  if (whole.cpus > 0) share = std::max(share, part.cpus / whole.cpus);
  if (whole.gpus > 0) share = std::max(share, part.gpus / whole.gpus);
  if (whole.memory_gb > 0) share = std::max(share, part.memory_gb / whole.memory_gb);
  return share;
}

}  // namespace marblevale
