#include "store/client.hpp"

#include <spdlog/spdlog.h>

#include "wire/json.hpp"

namespace marblevale {

namespace {

constexpr Span kDeadline{2000};
constexpr Span kQueueTime{2500};     // a request that waited this long for the budget is refused
constexpr Span kUserQueueTime{800};  // the same where a user waits: better told to come back
constexpr std::size_t kQueueLimit = 400;
// Every node may use more than its third, since the leader writes most; what is over the published
// rate is answered 429, which is safe and tried again.
constexpr double kShare = 1.6;

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

Fate fate_of(const HttpReply& reply) {
  switch (reply.status) {
    case 0:
      return reply.never_sent ? Fate::refused : Fate::unknown;
    case 200:
      return Fate::done;
    case 409:
      return Fate::conflict;
    case 429:
    case 503:
      return Fate::refused;
    case 400:
      return Fate::no_permit;
    case 404:
      return Fate::no_permit;
    default:
      return Fate::unknown;
  }
}

std::optional<Entry> parse_entry(const json::Value& object) {
  const auto path = json::text(object, "path");
  const auto stamp = json::count(object, "stamp");
  const json::Value* value = json::field(object, "value");
  if (!path || !stamp || value == nullptr) return std::nullopt;
  return Entry{*path, text_of(*value), Stamp(*stamp)};
}

std::string write_txn(const Txn& txn) {
  json::Writer out;
  out.open().key("guards").open_list();
  for (const auto& [key, stamp] : txn.guards) {
    out.open().put("path", key).put("stamp", stamp.get()).close();
  }
  out.close_list();
  if (!txn.puts.empty() || !txn.deletes.empty()) {
    out.key("apply").open_list();
    for (const Put& put : txn.puts) {
      out.open().put("put", put.key).key("value").raw(put.value);
      if (put.permit != Permit{}) out.put("permit", put.permit.get());
      out.close();
    }
    for (const auto& key : txn.deletes) out.open().put("delete", key).close();
    out.close_list();
  }
  out.close();
  return out.str();
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
    const auto stamp = json::count(item, "stamp");
    if (!stamp) return result;
    if (const auto put = json::text(item, "put")) {
      const json::Value* value = json::field(item, "value");
      if (value == nullptr) return result;
      result.log.push_back({*put, text_of(*value), Stamp(*stamp)});
    } else if (const auto gone = json::text(item, "delete")) {
      result.log.push_back({*gone, std::nullopt, Stamp(*stamp)});
    }
  }
  result.revision = Revision(*revision);
  result.kind = WatchResult::Kind::changes;
  return result;
}

}  // namespace

StoreClient::StoreClient(Loop& loop, const Clock& clock, const Address& at, StoreLimits limits,
                         std::size_t nodes)
    : meter_(loop.meter()),
      clock_(clock),
      limits_(limits),
      http_(loop, at, 6, 64),
      lease_http_(loop, at, 2, 8),
      watch_http_(loop, at, 1, 2),
      requests_(limits.rps * kShare / static_cast<double>(nodes),
                limits.rps * kShare / static_cast<double>(nodes)),
      writes_(limits.write_rps * kShare / static_cast<double>(nodes),
              limits.write_rps * kShare / static_cast<double>(nodes)),
      pump_timer_(loop, [this] { pump(); }) {}

void StoreClient::enqueue(Rank rank, HttpCall call, double writes, HttpHandler then) {
  auto& queue = queues_.at(static_cast<std::size_t>(rank));
  if (queue.size() >= kQueueLimit) {
    meter_.count("store queue full");
    then({0, true, {}});
    return;
  }
  queue.push_back({std::move(call), writes,
                   clock_.steady() + (rank >= Rank::submission ? kUserQueueTime : kQueueTime),
                   std::move(then)});
  pump();
}

void StoreClient::pump() {
  const Steady now = clock_.steady();
  for (auto& queue : queues_) {
    while (!queue.empty()) {
      Job& front = queue.front();
      if (front.expires < now) {
        const HttpHandler expired = std::move(front.then);
        meter_.count("over the store budget");
        queue.pop_front();
        expired({0, true, {}});
        continue;
      }
      const Span wait = std::max(requests_.wait(now, 1),
                                 front.writes > 0 ? writes_.wait(now, front.writes) : Span{0});
      if (wait > Span{0}) {
        if (!pump_timer_.pending()) pump_timer_.start(wait);
        return;
      }
      requests_.take(now, 1);
      if (front.writes > 0) writes_.take(now, front.writes);
      Job job = std::move(front);
      queue.pop_front();
      http_.send(std::move(job.call), std::move(job.then));
    }
  }
}

void StoreClient::read(const std::string& key, std::function<void(ReadResult)> then) {
  enqueue(Rank::read, {EVHTTP_REQ_GET, "/store/" + key, {}, "application/json", kDeadline}, 0,
          [then = std::move(then)](const HttpReply& reply) {
            ReadResult result;
            json::Document doc;
            if ((reply.status == 200 || reply.status == 404) && json::parse(doc, reply.body)) {
              if (reply.status == 200) result.entry = parse_entry(doc);
              result.ok = reply.status == 404 || result.entry.has_value();
            }
            then(std::move(result));
          });
}

void StoreClient::range(const std::string& prefix, const std::string& after,
                        std::function<void(RangeResult)> then) {
  std::string path = "/store?starts=" + encode_query(prefix) + "&limit=200";
  if (!after.empty()) path += "&after=" + encode_query(after);
  enqueue(Rank::granting, {EVHTTP_REQ_GET, path, {}, "application/json", kDeadline * 2.0}, 0,
          [then = std::move(then)](const HttpReply& reply) {
            RangeResult result;
            json::Document doc;
            if (reply.status == 200 && json::parse(doc, reply.body)) {
              const json::Value* items = json::list(doc, "items");
              const auto revision = json::count(doc, "ledger_rev");
              result.ok = items != nullptr && revision.has_value();
              if (result.ok) {
                for (const auto& item : items->GetArray()) {
                  auto entry = parse_entry(item);
                  result.ok = result.ok && entry.has_value();
                  if (entry) result.items.push_back(std::move(*entry));
                }
                result.revision = Revision(*revision);
                result.has_next = json::flag(doc, "has_next").value_or(false);
              }
            }
            then(std::move(result));
          });
}

void StoreClient::commit(Rank rank, Txn txn, std::function<void(CommitResult)> then) {
  const auto writes = static_cast<double>(txn.puts.size() + txn.deletes.size());
  for (const Put& put : txn.puts) {
    meter_.count("put " + kind_of(put.key));
    if (put.value.size() <= limits_.value_bytes) continue;
    spdlog::error("state service: {} takes {} bytes, more than the limit", put.key,
                  put.value.size());
  }
  for (const auto& key : txn.deletes) meter_.count("delete " + kind_of(key));
  enqueue(rank, {EVHTTP_REQ_POST, "/commit", write_txn(txn), "application/json", kDeadline}, writes,
          [this, then = std::move(then)](const HttpReply& reply) {
            CommitResult result;
            result.fate = fate_of(reply);
            if (reply.status == 429) meter_.count("store said 429");
            if (result.fate == Fate::conflict) meter_.count("conflicts");
            json::Document doc;
            if ((reply.status == 200 || reply.status == 409) && json::parse(doc, reply.body)) {
              result.revision = Revision(json::count(doc, "ledger_rev").value_or(0));
              if (const json::Value* failed = json::list(doc, "failed")) {
                for (const auto& key : failed->GetArray()) {
                  if (key.IsString()) result.failed.emplace_back(key.GetString());
                }
              }
            } else if (reply.status == 200) {
              result.fate = Fate::unknown;
            }
            then(std::move(result));
          });
}

void StoreClient::watch(const std::string& prefix, Revision after, Span hold,
                        std::function<void(WatchResult)> then) {
  // A watch that is open costs one request; it is never queued behind others.
  requests_.take(clock_.steady(), 1);
  watch_http_.send({EVHTTP_REQ_GET,
                    "/changes?starts=" + encode_query(prefix) + "&after=" +
                        std::to_string(after.get()) + "&hold_ms=" + std::to_string(hold.ms),
                    {},
                    "application/json",
                    hold + kDeadline},
                   [then = std::move(then)](const HttpReply& reply) { then(parse_watch(reply)); });
}

void StoreClient::create_permit(Span ttl, std::function<void(PermitResult)> then) {
  json::Writer body;
  body.open().put("ttl_ms", ttl.ms).close();
  requests_.take(clock_.steady(), 1);
  lease_http_.send({EVHTTP_REQ_POST, "/leases", body.str(), "application/json", kDeadline},
                   [then = std::move(then)](const HttpReply& reply) {
                     PermitResult result{fate_of(reply), {}};
                     json::Document doc;
                     if (reply.status == 200 && json::parse(doc, reply.body)) {
                       result.permit = Permit(json::count(doc, "permit").value_or(0));
                     }
                     if (result.permit == Permit{}) result.fate = Fate::unknown;
                     then(result);
                   });
}

void StoreClient::touch_permit(Permit permit, std::function<void(PermitResult)> then) {
  requests_.take(clock_.steady(), 1);
  lease_http_.send({EVHTTP_REQ_POST, "/leases/" + std::to_string(permit.get()) + "/touch", "{}",
                    "application/json", Span{1000}},
                   [permit, then = std::move(then)](const HttpReply& reply) {
                     then({fate_of(reply), permit});
                   });
}

}  // namespace marblevale
