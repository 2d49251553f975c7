// The answer to a request of the users' HTTP interface, and the answers that several requests
// share. Every request gets exactly one answer.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace marblevale {

struct UserAnswer {
  int status = 503;
  std::string body = R"({"error":"not decided"})";
  /// Sent as the Retry-After header; empty if a retry would not help.
  std::optional<std::chrono::seconds> retry_after;
};

/// Receives the answer to a request, once; possibly only after the call that made the request has
/// returned.
using AnswerHandler = std::function<void(const UserAnswer&)>;

/// How long a client should wait before it retries a request that failed because the state service
/// did not answer.
inline constexpr std::chrono::seconds kStoreUnavailableRetryAfter{2};

[[nodiscard]] UserAnswer error_answer(
    int status, const std::string& message,
    std::optional<std::chrono::seconds> retry_after = std::nullopt);

/// The answer if the state service did not provide the needed data in time. The client must not
/// conclude that the request failed, because it may have been executed.
[[nodiscard]] UserAnswer store_unavailable_answer();

[[nodiscard]] UserAnswer no_such_job_answer();

}  // namespace marblevale
