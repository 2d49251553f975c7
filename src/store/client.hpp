// The client of the state service. It keeps within this node's share of the published rates.
#pragma once

#include "core/address.hpp"
#include "net/http_client.hpp"
#include "store/request_budget.hpp"
#include "store/request_queue.hpp"
#include "store/store.hpp"

namespace marblevale {

/// Reads and commits wait in a priority queue for the request budget. Requests for leases and
/// watches use separate connections and are never queued, because an expired lease costs more than
/// one request beyond the budget.
class StoreClient : public Store {
 public:
  StoreClient(Loop& loop, const Clock& clock, const Address& at, StoreLimits limits);

  void read(const std::string& key, std::function<void(ReadResult)> then) override;
  void range(const std::string& prefix, const std::string& after,
             std::function<void(std::optional<RangePage>)> then) override;
  void commit(RequestPriority priority, Transaction txn,
              std::function<void(CommitResult)> then) override;
  void watch(const std::string& prefix, Revision after, Duration hold,
             std::function<void(WatchResult)> then) override;
  void create_lease(Duration ttl, std::function<void(LeaseResult)> then) override;
  void renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) override;
  [[nodiscard]] const StoreLimits& limits() const override { return limits_; }
  void lower_limits(LimitsEvidence evidence) override;
  [[nodiscard]] double write_slack() override;
  /// The requests that wait for the budget or for a connection.
  [[nodiscard]] const RequestQueue& request_queue() const { return queue_; }
  [[nodiscard]] std::size_t unsent_bytes() const { return http_.queued_bytes(); }

 private:
  void log_oversized_values(const Transaction& txn) const;
  void adapt();

  Metrics& metrics_;
  const Clock& clock_;
  StoreLimits limits_;
  RequestBudget budget_;
  HttpClient http_;
  HttpClient lease_http_;
  HttpClient watch_http_;
  RequestQueue queue_;
  Timer adapt_timer_;
};

}  // namespace marblevale
