// The answer to one request of the users' HTTP interface.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>

namespace marblevale {

struct UserAnswer {
  int status = 503;
  std::string body = R"({"error":"not decided"})";
  /// Sent as the Retry-After header; absent when a retry would not help.
  std::optional<std::chrono::seconds> retry_after;
};

/// Receives the answer to a request, once, possibly after the call that made the request returned.
using AnswerHandler = std::function<void(const UserAnswer&)>;

/// How long a client waits before it retries a request that the state service kept from being
/// answered.
inline constexpr std::chrono::seconds kStoreUnavailableRetryAfter{2};

[[nodiscard]] UserAnswer error_answer(
    int status, const std::string& message,
    std::optional<std::chrono::seconds> retry_after = std::nullopt);

/// The state service did not tell what the answer depends on, or not in time. Nothing may be
/// concluded from it: the request may have been carried out.
[[nodiscard]] UserAnswer store_unavailable_answer();

[[nodiscard]] UserAnswer no_such_job_answer();

}  // namespace marblevale
