#include "store/client.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>

#include "protocol/json.hpp"

namespace marblevale {

namespace {

constexpr Duration kDeadline{2000};
constexpr Duration kQueueTime{2500};  // a request that waited this long for the budget is refused
constexpr Duration kUserQueueTime{200};  // the same where a user waits: better told to come back
constexpr std::size_t kQueueLimit = 400;
// A node begins with its equal share of the published rates. What it needs beyond that it takes
// step by step while requests wait; an answer of 429 makes it give way. So the shares follow the
// work: the leader and busy holders get what idle nodes leave. 429 is safe: it was not executed.
constexpr double kMaxShare = 0.75;
constexpr double kMinShare = 0.5;  // of the equal share
constexpr double kStep = 0.025;    // of the published rate, each time
constexpr double kGiveWay = 0.75;
constexpr Duration kAdaptEvery{500};
constexpr double kSubmissionShare = 0.6;  // of the published writes: bindings must not starve
// A user waits for a submission, so it may be sent ahead of the share, as far as an equal share of
// a second: the others seldom use all of theirs, and 429 costs nothing but a repetition.
constexpr double kSubmissionCredit = 1.0;
constexpr Duration kAgainAfter{40};
constexpr int kAgain = 3;
constexpr Duration kRefusedLately{3'000};

std::string text_of(const json::Value& v) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  v.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

/// The kind of record: what its key has before the last part, without the common prefix.
std::string kind_of(const std::string& key) {
  const auto first = key.find('/') + 1;
  const auto second = key.find('/', first);
  return key.substr(0, 3) == "mv/" ? key.substr(first, second - first) : key.substr(0, first - 1);
}

std::string encode_query(const std::string& s) {
  char* encoded = evhttp_encode_uri(s.c_str());
  std::string out = encoded == nullptr ? s : encoded;
  free(encoded);  // NOLINT: evhttp hands over memory from malloc
  return out;
}

Outcome outcome_of(const HttpReply& reply) {
  if (reply.outcome == HttpOutcome::never_sent) return Outcome::refused;
  if (reply.outcome == HttpOutcome::no_answer) return Outcome::unknown;
  switch (reply.status) {
    case 200:
      return Outcome::done;
    case 409:
      return Outcome::conflict;
    case 429:
    case 503:
      return Outcome::refused;
    case 400:
      return Outcome::lease_expired;
    case 404:
      return Outcome::lease_expired;
    default:
      return Outcome::unknown;
  }
}

std::optional<Entry> parse_entry(const json::Value& object) {
  const auto path = json::text(object, "path");
  const auto mod_revision = json::count(object, "stamp");
  const json::Value* value = json::field(object, "value");
  if (!path || !mod_revision || value == nullptr) return std::nullopt;
  return Entry{*path, text_of(*value), ModRevision(*mod_revision)};
}

std::string write_transaction(const Transaction& txn) {
  json::Writer out;
  out.open().key("guards").open_list();
  for (const auto& [key, mod_revision] : txn.guards) {
    out.open().put("path", key).put("stamp", mod_revision.get()).close();
  }
  out.close_list();
  if (!txn.puts.empty() || !txn.deletes.empty()) {
    out.key("apply").open_list();
    for (const Put& put : txn.puts) {
      out.open().put("put", put.key).key("value").raw(put.value);
      if (put.lease_id != LeaseId{}) out.put("permit", put.lease_id.get());
      out.close();
    }
    for (const auto& key : txn.deletes) out.open().put("delete", key).close();
    out.close_list();
  }
  out.close();
  return out.str();
}

std::optional<RangePage> parse_range(const HttpReply& reply) {
  json::Document doc;
  if (reply.status != 200 || !json::parse(doc, reply.body)) return std::nullopt;
  const json::Value* items = json::list(doc, "items");
  const auto revision = json::count(doc, "ledger_rev");
  if (items == nullptr || !revision) return std::nullopt;
  RangePage page;
  for (const auto& item : items->GetArray()) {
    auto entry = parse_entry(item);
    if (!entry) return std::nullopt;
    page.entries.push_back(std::move(*entry));
  }
  page.revision = Revision(*revision);
  page.has_next = json::flag(doc, "has_next").value_or(false);
  return page;
}

WatchResult parse_watch(const HttpReply& reply) {
  WatchResult result;
  if (reply.status == 410) result.kind = WatchResult::Kind::too_old;
  json::Document doc;
  if (reply.status != 200 || !json::parse(doc, reply.body)) return result;
  const auto revision = json::count(doc, "ledger_rev");
  const json::Value* log = json::list(doc, "log");
  if (!revision || log == nullptr) return result;
  for (const auto& item : log->GetArray()) {
    const auto mod_revision = json::count(item, "stamp");
    if (!mod_revision) return result;
    if (const auto put = json::text(item, "put")) {
      const json::Value* value = json::field(item, "value");
      if (value == nullptr) return result;
      result.changes.push_back({*put, text_of(*value), ModRevision(*mod_revision)});
    } else if (const auto gone = json::text(item, "delete")) {
      result.changes.push_back({*gone, std::nullopt, ModRevision(*mod_revision)});
    }
  }
  result.revision = Revision(*revision);
  result.kind = WatchResult::Kind::changes;
  return result;
}

}  // namespace

bool exceeds_announced(const Transaction& txn, const StoreLimits& limits) {
  if (!limits.next) return false;
  return std::any_of(txn.puts.begin(), txn.puts.end(), [&](const Put& put) {
    return put.value.size() > limits.next->value_bytes && put.value.size() <= limits.value_bytes;
  });
}

CommitResult parse_commit_reply(const HttpReply& reply) {
  CommitResult result;
  result.outcome = outcome_of(reply);
  if (result.outcome != Outcome::done && result.outcome != Outcome::conflict) return result;
  // Without its revision an answer can't be waited for in the records: it settles nothing.
  json::Document doc;
  const auto revision =
      json::parse(doc, reply.body) ? json::count(doc, "ledger_rev") : std::nullopt;
  if (!revision) {
    result.outcome = Outcome::unknown;
    return result;
  }
  result.revision = Revision(*revision);
  if (const json::Value* failed = json::list(doc, "failed")) {
    for (const auto& key : failed->GetArray()) {
      if (key.IsString()) result.failed.emplace_back(key.GetString());
    }
  }
  return result;
}

StoreClient::StoreClient(Loop& loop, const Clock& clock, const Address& at, StoreLimits limits)
    : metrics_(loop.metrics()),
      clock_(clock),
      limits_(limits),
      http_(loop, at, 6, 64),
      lease_http_(loop, at, 2, 8),
      watch_http_(loop, at, 1, 2),
      requests_(equal_share(limits.rps), equal_share(limits.rps)),
      writes_(equal_share(limits.write_rps), equal_share(limits.write_rps)),
      submissions_(limits.write_rps * kSubmissionShare, limits.write_rps * kSubmissionShare),
      pump_timer_(loop, [this] { pump(); }),
      adapt_timer_(loop, [this] { adapt(); }) {
  adapt_timer_.start(kAdaptEvery);
}

double StoreClient::equal_share(double rate) const {
  return rate / static_cast<double>(limits_.nodes);
}

void StoreClient::adapt() {
  adapt_timer_.start(kAdaptEvery);
  const auto more = [](TokenBucket& bucket, double published) {
    bucket.set_rate(std::min(published * kMaxShare, bucket.rate() + published * kStep));
  };
  if (short_of_requests_) more(requests_, limits_.rps);
  if (short_of_writes_) more(writes_, limits_.write_rps);
  short_of_requests_ = short_of_writes_ = false;
}

void StoreClient::give_way(bool writes) {
  metrics_.count("store said 429");
  // Answers that come close together tell of the same excess.
  const SteadyTime now = clock_.steady();
  if (now - last_refused_ < scaled(kAdaptEvery, 0.5)) return;
  last_refused_ = now;
  const auto less = [this](TokenBucket& bucket, double published) {
    bucket.set_rate(std::max(equal_share(published) * kMinShare, bucket.rate() * kGiveWay));
  };
  less(requests_, limits_.rps);
  if (writes) less(writes_, limits_.write_rps);
}

double StoreClient::credit(RequestPriority rank) const {
  return rank == RequestPriority::submission ? equal_share(limits_.write_rps) * kSubmissionCredit
                                             : 0;
}

double StoreClient::write_slack() {
  for (std::size_t rank = 0; rank <= static_cast<std::size_t>(RequestPriority::leader_commit);
       ++rank) {
    if (!queues_.at(rank).empty()) return 0;
  }
  const SteadyTime now = clock_.steady();
  // Refused a moment ago: the others use what this node's bucket says is there.
  return now - last_refused_ < kRefusedLately ? 0 : writes_.filled(now);
}

void StoreClient::enqueue(RequestPriority rank, HttpCall call, double writes, HttpHandler then) {
  auto& queue = queues_.at(static_cast<std::size_t>(rank));
  if (queue.size() >= kQueueLimit) {
    metrics_.count("store queue full");
    then(HttpReply::never_sent());
    return;
  }
  if (rank == RequestPriority::submission && writes > 0) {
    // A user is told to come back at once rather than after having waited in vain.
    double ahead = writes;
    for (std::size_t before = 0; before <= static_cast<std::size_t>(rank); ++before) {
      for (const Job& job : queues_.at(before)) ahead += job.writes;
    }
    const SteadyTime now = clock_.steady();
    if (!submissions_.take(now, writes) ||
        writes_.wait(now, ahead, -credit(rank)) > kUserQueueTime) {
      short_of_writes_ = true;
      metrics_.count("submissions over the budget");
      then(HttpReply::never_sent());
      return;
    }
  }
  const bool hurried = rank == RequestPriority::submission || rank == RequestPriority::read;
  queue.push_back({std::move(call), writes,
                   clock_.steady() + (hurried ? kUserQueueTime * 2 : kQueueTime), std::move(then),
                   rank == RequestPriority::submission ? kAgain : 0});
  pump();
}

void StoreClient::pump() {
  const SteadyTime now = clock_.steady();
  bool writes_stopped = false;  // what is less important must not overtake, unless it only reads
  for (std::size_t rank = 0; rank < queues_.size(); ++rank) {
    auto& queue = queues_.at(rank);
    const double keep = -credit(static_cast<RequestPriority>(rank));
    while (!queue.empty()) {
      Job& front = queue.front();
      if (front.expires < now) {
        const HttpHandler expired = std::move(front.then);
        metrics_.count("over the store budget");
        queue.pop_front();
        expired(HttpReply::never_sent());
        continue;
      }
      const Duration for_request = requests_.wait(now, 1);
      const Duration for_writes =
          front.writes > 0 ? writes_.wait(now, front.writes, keep) : Duration{0};
      const Duration wait = std::max(for_request, for_writes);
      if (wait > Duration{0} && !pump_timer_.pending()) pump_timer_.start(wait);
      if (for_request > Duration{0}) {
        short_of_requests_ = true;
        return;
      }
      if (front.writes > 0 && (for_writes > Duration{0} || writes_stopped)) {
        short_of_writes_ = writes_stopped = true;
        break;
      }
      requests_.take(now, 1);
      if (front.writes > 0) writes_.take(now, front.writes, keep);
      Job job = std::move(front);
      queue.pop_front();
      send(std::move(job));
    }
  }
}

void StoreClient::send(Job job) {
  auto kept = std::make_shared<Job>(std::move(job));
  http_.send(kept->call, [this, kept](const HttpReply& reply) {
    if (reply.status != 429) {
      kept->then(reply);
      return;
    }
    give_way(kept->writes > 0);
    if (kept->again == 0) {
      kept->then(reply);
      return;
    }
    // It was not executed, and a user waits: once more, when the others have spent their bursts.
    --kept->again;
    queues_.at(static_cast<std::size_t>(RequestPriority::submission)).push_front(std::move(*kept));
    if (!pump_timer_.pending()) pump_timer_.start(kAgainAfter);
  });
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> then) {
  enqueue(RequestPriority::read,
          {EVHTTP_REQ_GET, "/store/" + key, {}, "application/json", kDeadline}, 0,
          [then = std::move(then)](const HttpReply& reply) {
            ReadResult result;
            json::Document doc;
            if ((reply.status == 200 || reply.status == 404) && json::parse(doc, reply.body)) {
              if (reply.status == 200) result.entry = parse_entry(doc);
              if (result.entry) result.kind = ReadResult::Kind::found;
              if (reply.status == 404) result.kind = ReadResult::Kind::absent;
            }
            then(std::move(result));
          });
}

void StoreClient::range(const std::string& prefix, const std::string& after,
                        std::function<void(std::optional<RangePage>)> then) {
  std::string path = "/store?starts=" + encode_query(prefix) + "&limit=1000";
  if (!after.empty()) path += "&after=" + encode_query(after);
  enqueue(RequestPriority::leader_commit,
          {EVHTTP_REQ_GET, path, {}, "application/json", kDeadline * 2}, 0,
          [then = std::move(then)](const HttpReply& reply) { then(parse_range(reply)); });
}

void StoreClient::warn_if_too_large(const Transaction& txn) const {
  for (const Put& put : txn.puts) {
    if (put.value.size() <= limits_.value_bytes) continue;
    spdlog::error("state service: {} takes {} bytes, more than the limit", put.key,
                  put.value.size());
  }
}

const char* text_of(LimitsEvidence evidence) {
  switch (evidence) {
    case LimitsEvidence::refused_commit:
      return "a value was refused that the earlier ones allowed";
    case LimitsEvidence::compact_record:
      return "another controller wrote a compact record";
  }
  return "";
}

void StoreClient::lower_limits(LimitsEvidence evidence) {
  if (!limits_.next) return;
  const AnnouncedLimits lower = *limits_.next;
  limits_.next.reset();
  spdlog::warn(
      "state service: the announced limits are in force ({}): {} requests and {} changes a second, "
      "values up to {} bytes, {} changes a transaction",
      text_of(evidence), lower.rps, lower.write_rps, lower.value_bytes, lower.txn_ops);
  limits_.rps = std::min(limits_.rps, lower.rps);
  limits_.write_rps = std::min(limits_.write_rps, lower.write_rps);
  limits_.value_bytes = std::min(limits_.value_bytes, lower.value_bytes);
  limits_.txn_ops = std::min(limits_.txn_ops, lower.txn_ops);
  requests_.set_rate(std::min(requests_.rate(), equal_share(limits_.rps)));
  writes_.set_rate(std::min(writes_.rate(), equal_share(limits_.write_rps)));
  submissions_.set_rate(limits_.write_rps * kSubmissionShare);
}

void StoreClient::commit(RequestPriority rank, Transaction txn,
                         std::function<void(CommitResult)> then) {
  warn_if_too_large(txn);
  const bool tells_of_limits = exceeds_announced(txn, limits_);
  std::vector<std::string> kinds;
  for (const Put& put : txn.puts) kinds.push_back("put " + kind_of(put.key));
  for (const auto& key : txn.deletes) kinds.push_back("delete " + kind_of(key));
  const auto writes = static_cast<double>(kinds.size());
  enqueue(rank, {EVHTTP_REQ_POST, "/commit", write_transaction(txn), "application/json", kDeadline},
          writes,
          [this, tells_of_limits, kinds = std::move(kinds),
           then = std::move(then)](const HttpReply& reply) {
            CommitResult result = parse_commit_reply(reply);
            if (reply.status == 400 && tells_of_limits) {
              lower_limits(LimitsEvidence::refused_commit);
              result.outcome = Outcome::refused;
            }
            if (result.outcome == Outcome::conflict) metrics_.count("conflicts");
            if (result.outcome == Outcome::done) {
              for (const std::string& kind : kinds) metrics_.count(kind);
            }
            then(std::move(result));
          });
}

void StoreClient::watch(const std::string& prefix, Revision after, Duration hold,
                        std::function<void(WatchResult)> then) {
  // A watch that is open costs one request; it is never queued behind others.
  requests_.take(clock_.steady(), 1);
  watch_http_.send({EVHTTP_REQ_GET,
                    "/changes?starts=" + encode_query(prefix) + "&after=" +
                        std::to_string(after.get()) + "&hold_ms=" + std::to_string(hold.count()),
                    {},
                    "application/json",
                    hold + kDeadline},
                   [then = std::move(then)](const HttpReply& reply) { then(parse_watch(reply)); });
}

void StoreClient::create_lease(Duration ttl, std::function<void(LeaseResult)> then) {
  json::Writer body;
  body.open().put("ttl_ms", ttl.count()).close();
  requests_.take(clock_.steady(), 1);
  lease_http_.send({EVHTTP_REQ_POST, "/leases", body.str(), "application/json", kDeadline},
                   [then = std::move(then)](const HttpReply& reply) {
                     LeaseResult result{outcome_of(reply), {}};
                     json::Document doc;
                     if (reply.status == 200 && json::parse(doc, reply.body)) {
                       result.lease_id = LeaseId(json::count(doc, "permit").value_or(0));
                     }
                     if (result.lease_id == LeaseId{}) result.outcome = Outcome::unknown;
                     then(result);
                   });
}

void StoreClient::renew_lease(LeaseId lease_id, std::function<void(LeaseResult)> then) {
  requests_.take(clock_.steady(), 1);
  lease_http_.send({EVHTTP_REQ_POST, "/leases/" + std::to_string(lease_id.get()) + "/touch", "{}",
                    "application/json", Duration{1000}},
                   [lease_id, then = std::move(then)](const HttpReply& reply) {
                     then({outcome_of(reply), lease_id});
                   });
}

}  // namespace marblevale
