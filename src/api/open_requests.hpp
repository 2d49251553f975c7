// Bounds the requests that wait for an answer: each has a deadline, and the number of open status
// queries is limited.
#pragma once

#include <cstddef>
#include <memory>

#include "api/user_answer.hpp"
#include "net/loop.hpp"

namespace marblevale {

/// Wraps `handler` so that it receives only the first answer. If no answer comes within `deadline`,
/// `handler` receives `store_unavailable_answer()`.
[[nodiscard]] AnswerHandler with_deadline(Loop& loop, Duration deadline, AnswerHandler handler);

/// Limits the number of open status queries. All open queries are answered together when the watch
/// reports progress. The limit bounds how long these answers delay leases and heartbeats, and
/// leaves room for cancellations and submissions, which wait for the same progress.
class OpenQueryLimit {
 public:
  static constexpr std::size_t kMaxOpenQueries = 400;

  [[nodiscard]] bool reached() const { return *open_count_ >= kMaxOpenQueries; }
  /// Wraps `handler`; the returned handler counts as an open query until it is destroyed.
  [[nodiscard]] AnswerHandler track(AnswerHandler handler) const;

 private:
  /// Shared with the handlers, which may outlive this object.
  std::shared_ptr<std::size_t> open_count_ = std::make_shared<std::size_t>(0);
};

}  // namespace marblevale
