// What tasks take and machines have.
#pragma once

namespace marblevale {

struct Room {
  double cpus = 0;
  double gpus = 0;
  double memory_gb = 0;

  Room& operator+=(const Room& o);
  Room& operator-=(const Room& o);
  friend Room operator+(Room a, const Room& b) { return a += b; }
  friend Room operator-(Room a, const Room& b) { return a -= b; }
  friend Room operator*(Room a, double f) { return {a.cpus * f, a.gpus * f, a.memory_gb * f}; }
};

/// True when `need` fits into `have`; sums of decimals are allowed a rounding error.
bool fits(const Room& need, const Room& have);

/// The smaller of the two in each amount.
Room least(const Room& a, const Room& b);

/// The largest share of `whole` that `part` takes of any amount that the machine has.
double share_of(const Room& part, const Room& whole);

}  // namespace marblevale
