// The state service's published protocol: encodes the requests of `Store` and parses the replies.
#pragma once

#include <optional>
#include <string>

#include "net/http_client.hpp"
#include "store/store.hpp"

namespace marblevale {

[[nodiscard]] HttpCall read_call(const std::string& key);
[[nodiscard]] HttpCall range_call(const std::string& prefix, const std::string& after);
[[nodiscard]] HttpCall commit_call(const Transaction& txn);
[[nodiscard]] HttpCall watch_call(const std::string& prefix, Revision after, Duration hold);
[[nodiscard]] HttpCall create_lease_call(Duration ttl);
[[nodiscard]] HttpCall renew_lease_call(LeaseId lease_id);

// A reply that can't be read gives a failed result, or the outcome `unknown` because the request
// may have been executed.
[[nodiscard]] ReadResult parse_read_reply(const HttpReply& reply);
[[nodiscard]] std::optional<RangePage> parse_range_reply(const HttpReply& reply);
[[nodiscard]] CommitResult parse_commit_reply(const HttpReply& reply);
[[nodiscard]] WatchResult parse_watch_reply(const HttpReply& reply);
[[nodiscard]] LeaseResult parse_create_lease_reply(const HttpReply& reply);
[[nodiscard]] LeaseResult parse_renew_lease_reply(const HttpReply& reply, LeaseId lease_id);

}  // namespace marblevale
