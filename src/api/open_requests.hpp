// Bounds on requests that wait for their answer: a deadline for each, and a limit on the number of
// status queries.
#pragma once

#include <cstddef>
#include <memory>

#include "api/user_answer.hpp"
#include "net/loop.hpp"

namespace marblevale {

/// A handler that passes on the first answer it receives and drops the others. When none has come
/// within `deadline`, the first answer is `store_unavailable_answer()`.
[[nodiscard]] AnswerHandler with_deadline(Loop& loop, Duration deadline, AnswerHandler handler);

/// Limits how many status queries wait at a time. All of them are answered when the watch reports
/// progress: their number bounds how long that delays leases and heartbeats, and leaves room for
/// cancellations and submissions, which wait for the same progress.
class OpenQueryLimit {
 public:
  static constexpr std::size_t kMaxOpenQueries = 400;

  [[nodiscard]] bool reached() const { return *open_count_ >= kMaxOpenQueries; }
  /// A handler that counts as an open query until it is destroyed.
  [[nodiscard]] AnswerHandler track(AnswerHandler handler) const;

 private:
  /// Shared with the handlers, which may outlive this object.
  std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
};

}  // namespace marblevale
