#include "store/request_queue.hpp"

#include <algorithm>
#include <memory>

namespace marblevale {

namespace {

constexpr std::size_t kMaxQueuedRequests = 400;  // of each priority
/// Bytes of all requests that wait: about an eighth of the smallest controller's memory. The
/// requests that are in flight and the copies that their senders keep come on top.
constexpr std::size_t kMaxQueuedBytes = std::size_t{7} * 1024 * 1024;
constexpr Duration kMaxQueueTime{2500};
/// A submission with a longer expected queue time is refused at once, so that its user can retry.
/// Reads and submissions, for which a user waits, expire after twice this time.
constexpr Duration kMaxUserQueueTime{200};
constexpr int kMaxSubmissionRetries = 3;
constexpr Duration kSubmissionRetryDelay{40};
constexpr int kStatusTooManyRequests = 429;

}  // namespace

RequestQueue::RequestQueue(Loop& loop, const Clock& clock, HttpClient& http, RequestBudget& budget)
    : metrics_(loop.metrics()),
      clock_(clock),
      http_(http),
      budget_(budget),
      pump_timer_(loop, [this] { pump(); }) {}

RequestQueue::Queue& RequestQueue::queue_of(RequestPriority priority) {
  return queues_.at(static_cast<std::size_t>(priority));
}

std::size_t RequestQueue::waiting_requests() const {
  std::size_t requests = 0;
  for (const Queue& queue : queues_) requests += queue.size();
  return requests;
}

bool RequestQueue::holds_important_requests() const {
  constexpr auto kLast = static_cast<std::ptrdiff_t>(RequestPriority::leader_commit);
  return std::any_of(queues_.begin(), queues_.begin() + kLast + 1,
                     [](const Queue& queue) { return !queue.empty(); });
}

bool RequestQueue::admit_submission(double writes) {
  double writes_ahead = writes;
  constexpr auto kLast = static_cast<std::size_t>(RequestPriority::submission);
  for (std::size_t rank = 0; rank <= kLast; ++rank) {
    for (const Request& request : queues_.at(rank)) writes_ahead += request.writes;
  }
  const SteadyTime now = clock_.steady();
  return budget_.take_submission(now, writes) &&
         budget_.wait_for_writes(now, writes_ahead, RequestPriority::submission) <=
             kMaxUserQueueTime;
}

void RequestQueue::enqueue(RequestPriority priority, HttpCall call, double writes,
                           HttpHandler then) {
  Queue& queue = queue_of(priority);
  const std::size_t bytes = call.body.size();
  if (queue.size() >= kMaxQueuedRequests ||
      (bytes > 0 && waiting_bytes_ + bytes > kMaxQueuedBytes)) {
    metrics_.count("store queue full");
    then(HttpReply::never_sent());
    return;
  }
  const bool is_submission = priority == RequestPriority::submission;
  if (is_submission && writes > 0 && !admit_submission(writes)) {
    // The user can retry at once instead of waiting until the submission expires.
    budget_.mark_short_of_writes();
    metrics_.count("submissions over the budget");
    then(HttpReply::never_sent());
    return;
  }
  const bool user_waits = is_submission || priority == RequestPriority::read;
  const Duration max_wait = user_waits ? kMaxUserQueueTime * 2 : kMaxQueueTime;
  waiting_bytes_ += bytes;
  queue.push_back({std::move(call), writes, clock_.steady() + max_wait, std::move(then),
                   is_submission ? kMaxSubmissionRetries : 0});
  pump();
}

void RequestQueue::pump() {
  const SteadyTime now = clock_.steady();
  bool writes_blocked = false;  // a write of a higher priority waits
  for (std::size_t rank = 0; rank < queues_.size(); ++rank) {
    switch (send_ready(static_cast<RequestPriority>(rank), now, writes_blocked)) {
      case Shortage::none:
        break;
      case Shortage::requests:
        return;
      case Shortage::writes:
        writes_blocked = true;
        break;
    }
  }
}

RequestQueue::Shortage RequestQueue::send_ready(RequestPriority priority, SteadyTime now,
                                                bool writes_blocked) {
  Queue& queue = queue_of(priority);
  while (!queue.empty()) {
    if (queue.front().expires < now) {
      expire_front(queue);
      continue;
    }
    const Shortage shortage = shortage_for(queue.front(), priority, now, writes_blocked);
    if (shortage == Shortage::requests) budget_.mark_short_of_requests();
    if (shortage == Shortage::writes) budget_.mark_short_of_writes();
    if (shortage != Shortage::none) return shortage;
    budget_.take_request(now);
    if (queue.front().writes > 0) budget_.take_writes(now, queue.front().writes, priority);
    send(take_front(queue));
  }
  return Shortage::none;
}

RequestQueue::Shortage RequestQueue::shortage_for(const Request& request, RequestPriority priority,
                                                  SteadyTime now, bool writes_blocked) {
  const Duration for_request = budget_.wait_for_request(now);
  const Duration for_writes =
      request.writes > 0 ? budget_.wait_for_writes(now, request.writes, priority) : Duration{0};
  const Duration wait = std::max(for_request, for_writes);
  if (wait > Duration{0} && !pump_timer_.pending()) pump_timer_.start(wait);
  if (for_request > Duration{0}) return Shortage::requests;
  const bool blocked = request.writes > 0 && (for_writes > Duration{0} || writes_blocked);
  return blocked ? Shortage::writes : Shortage::none;
}

RequestQueue::Request RequestQueue::take_front(Queue& queue) {
  Request request = std::move(queue.front());
  queue.pop_front();
  waiting_bytes_ -= request.call.body.size();
  return request;
}

void RequestQueue::expire_front(Queue& queue) {
  const Request request = take_front(queue);
  metrics_.count("over the store budget");
  request.then(HttpReply::never_sent());
}

void RequestQueue::send(Request request) {
  auto in_flight = std::make_shared<Request>(std::move(request));
  http_.send(in_flight->call, [this, in_flight](const HttpReply& reply) {
    if (reply.status != kStatusTooManyRequests) {
      in_flight->then(reply);
      return;
    }
    metrics_.count("store said 429");
    budget_.reduce(clock_.steady(), in_flight->writes > 0);
    if (in_flight->retries_left == 0) {
      in_flight->then(reply);
      return;
    }
    // The submission was not executed and its user waits. It is sent again after a delay in which
    // the other nodes use up their bursts.
    --in_flight->retries_left;
    waiting_bytes_ += in_flight->call.body.size();
    queue_of(RequestPriority::submission).push_front(std::move(*in_flight));
    if (!pump_timer_.pending()) pump_timer_.start(kSubmissionRetryDelay);
  });
}

}  // namespace marblevale
