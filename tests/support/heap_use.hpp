// The bytes that the test process holds on the heap.
#pragma once

#include <cstddef>

namespace marblevale::testing {

/// Measures the most bytes that are held at one time from its construction on: those allocated by
/// `new` and not deleted yet.
class HeapPeak {
 public:
  HeapPeak();
  /// The most bytes held at one time, less those held at the construction.
  [[nodiscard]] std::size_t bytes() const;

 private:
  std::size_t begin_;
};

}  // namespace marblevale::testing
