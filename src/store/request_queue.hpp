// A priority queue of the requests to the state service that wait for this node's budget.
#pragma once

#include <array>
#include <cstddef>
#include <deque>

#include "core/metrics.hpp"
#include "net/http_client.hpp"
#include "net/loop.hpp"
#include "store/request_budget.hpp"
#include "store/request_priority.hpp"

namespace marblevale {

/// Sends requests in order of priority, as fast as the budget allows. While a write waits, the only
/// requests of lower priority that may be sent are reads. A request that waits too long is
/// completed as never sent.
class RequestQueue {
 public:
  RequestQueue(Loop& loop, const Clock& clock, HttpClient& http, RequestBudget& budget);

  /// `writes`: the puts and deletes of the request, which count against the write rate.
  void enqueue(RequestPriority priority, HttpCall call, double writes, HttpHandler then);
  /// The requests that wait, and the bytes of their bodies.
  [[nodiscard]] std::size_t waiting_requests() const;
  [[nodiscard]] std::size_t waiting_bytes() const { return waiting_bytes_; }
  /// True while a request of priority `leader_commit` or higher waits.
  [[nodiscard]] bool holds_important_requests() const;

 private:
  struct Request {
    HttpCall call;
    double writes = 0;
    SteadyTime expires;
    HttpHandler then;
    int retries_left = 0;  // after replies of 429
  };
  using Queue = std::deque<Request>;
  /// What the budget lacks for a request.
  enum class Shortage { none, requests, writes };

  [[nodiscard]] Queue& queue_of(RequestPriority priority);
  /// Takes a submission's writes from their part of the budget. Returns false when that part is
  /// used up, or when the wait would be so long that the user should retry later instead.
  [[nodiscard]] bool admit_submission(double writes);
  void pump();
  [[nodiscard]] Shortage send_ready(RequestPriority priority, SteadyTime now, bool writes_blocked);
  [[nodiscard]] Shortage shortage_for(const Request& request, RequestPriority priority,
                                      SteadyTime now, bool writes_blocked);
  Request take_front(Queue& queue);
  void expire_front(Queue& queue);
  void send(Request request);

  Metrics& metrics_;
  const Clock& clock_;
  HttpClient& http_;
  RequestBudget& budget_;
  std::array<Queue, kRequestPriorityCount> queues_;
  std::size_t waiting_bytes_ = 0;
  Timer pump_timer_;
};

}  // namespace marblevale
