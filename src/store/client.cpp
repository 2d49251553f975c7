#include "store/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "store/store_protocol.hpp"

namespace marblevale {

namespace {

constexpr int kStatusBadRequest = 400;

/// The kind of a record: the first component of its key after the common prefix `mv/`.
std::string kind_of(const std::string& key) {
  const auto first = key.find('/') + 1;
  const auto second = key.find('/', first);
  return key.substr(0, 3) == "mv/" ? key.substr(first, second - first) : key.substr(0, first - 1);
}

/// The names of the metrics that count the transaction's operations.
std::vector<std::string> operation_names(const Transaction& txn) {
  std::vector<std::string> names;
  for (const Put& put : txn.puts) names.push_back("put " + kind_of(put.key));
  for (const auto& key : txn.deletes) names.push_back("delete " + kind_of(key));
  return names;
}

const char* name_of(LimitsEvidence evidence) {
  switch (evidence) {
    case LimitsEvidence::refused_commit:
      return "refused_commit";
    case LimitsEvidence::compact_record:
      return "compact_record";
  }
  return "unknown";
}

}  // namespace

StoreClient::StoreClient(Loop& loop, const Clock& clock, const Address& at, StoreLimits limits)
    : metrics_(loop.metrics()),
      clock_(clock),
      limits_(limits),
      budget_(limits_),
      http_(loop, at, 6, 64),
      lease_http_(loop, at, 2, 8),
      watch_http_(loop, at, 1, 2),
      queue_(loop, clock, http_, budget_),
      adapt_timer_(loop, [this] { adapt(); }) {
  adapt_timer_.start(RequestBudget::kAdaptInterval);
}

void StoreClient::adapt() {
  adapt_timer_.start(RequestBudget::kAdaptInterval);
  budget_.adapt();
}

double StoreClient::write_slack() {
  return queue_.holds_important_requests() ? 0 : budget_.write_slack(clock_.steady());
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> then) {
  queue_.enqueue(
      RequestPriority::read, read_call(key), 0,
      [then = std::move(then)](const HttpReply& reply) { then(parse_read_reply(reply)); });
}

void StoreClient::range(const std::string& prefix, const std::string& after,
                        std::function<void(std::optional<RangePage>)> then) {
  queue_.enqueue(
      RequestPriority::leader_commit, range_call(prefix, after), 0,
      [then = std::move(then)](const HttpReply& reply) { then(parse_range_reply(reply)); });
}

void StoreClient::log_oversized_values(const Transaction& txn) const {
  for (const Put& put : txn.puts) {
    if (put.value.size() <= limits_.value_bytes) continue;
    spdlog::error("store: value_too_large key={} bytes={} limit_bytes={}", put.key,
                  put.value.size(), limits_.value_bytes);
  }
}

void StoreClient::lower_limits(LimitsEvidence evidence) {
  if (!limits_.next) return;
  const AnnouncedLimits announced = *limits_.next;
  limits_.next.reset();
  spdlog::warn(
      "store: announced_limits_in_force evidence={} requests_per_second={} writes_per_second={} "
      "value_bytes={} transaction_operations={}",
      name_of(evidence), announced.rps, announced.write_rps, announced.value_bytes,
      announced.txn_ops);
  limits_.rps = std::min(limits_.rps, announced.rps);
  limits_.write_rps = std::min(limits_.write_rps, announced.write_rps);
  limits_.value_bytes = std::min(limits_.value_bytes, announced.value_bytes);
  limits_.txn_ops = std::min(limits_.txn_ops, announced.txn_ops);
  budget_.apply_lowered_limits();
}

void StoreClient::commit(RequestPriority priority, Transaction txn,
                         std::function<void(CommitResult)> then) {
  log_oversized_values(txn);
  const bool over_announced_limit = exceeds_announced_value_limit(txn, limits_);
  auto operations = operation_names(txn);
  const auto writes = static_cast<double>(operations.size());
  queue_.enqueue(priority, commit_call(txn), writes,
                 [this, over_announced_limit, operations = std::move(operations),
                  then = std::move(then)](const HttpReply& reply) {
                   CommitResult result = parse_commit_reply(reply);
                   if (reply.status == kStatusBadRequest && over_announced_limit) {
                     lower_limits(LimitsEvidence::refused_commit);
                     result.outcome = Outcome::refused;
                   }
                   if (result.outcome == Outcome::conflict) metrics_.count("conflicts");
                   if (result.outcome == Outcome::done) {
                     for (const std::string& operation : operations) metrics_.count(operation);
                   }
                   then(std::move(result));
                 });
}

void StoreClient::watch(const std::string& prefix, Revision after, Duration hold,
                        std::function<void(WatchResult)> then) {
  budget_.take_request(clock_.steady());
  watch_http_.send(
      watch_call(prefix, after, hold),
      [then = std::move(then)](const HttpReply& reply) { then(parse_watch_reply(reply)); });
}

void StoreClient::create_lease(Duration ttl, std::function<void(LeaseResult)> then) {
  budget_.take_request(clock_.steady());
  lease_http_.send(create_lease_call(ttl), [then = std::move(then)](const HttpReply& reply) {
    then(parse_create_lease_reply(reply));
  });
}

void StoreClient::renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) {
  budget_.take_request(clock_.steady());
  lease_http_.send(renew_lease_call(lease_id),
                   [lease_id, then = std::move(then)](const HttpReply& reply) {
                     then(parse_renew_lease_reply(reply, lease_id));
                   });
}

}  // namespace marblevale
