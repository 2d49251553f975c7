// What tasks take and machines have.
#pragma once

namespace marblevale {

struct Resources {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Resources& operator+=(const Resources& o);
  Resources& operator-=(const Resources& o);
  friend Resources operator+(Resources a, const Resources& b) { return a += b; }
  friend Resources operator-(Resources a, const Resources& b) { return a -= b; }
  friend Resources operator*(Resources a, double f) {
    return {a.cpus * f, a.gpus * f, a.memory_gb * f};
  }
};

/// True when `need` fits into `have`; sums of decimals are allowed a rounding error.
bool fits(const Resources& need, const Resources& have);

/// The smaller of the two in each amount.
Resources least(const Resources& a, const Resources& b);

/// The largest share of `whole` that `part` takes of any amount that the machine has.
double share_of(const Resources& amount, const Resources& whole);

}  // namespace marblevale
