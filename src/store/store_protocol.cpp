#include "store/store_protocol.hpp"

#include <cstdlib>
#include <memory>

#include "protocol/json.hpp"

namespace marblevale {

namespace {

constexpr Duration kRequestTimeout{2000};
constexpr Duration kRenewalTimeout{1000};
constexpr const char* kContentType = "application/json";
constexpr int kStatusOk = 200;
constexpr int kStatusBadRequest = 400;
constexpr int kStatusNotFound = 404;
constexpr int kStatusConflict = 409;
constexpr int kStatusGone = 410;
constexpr int kStatusTooManyRequests = 429;
constexpr int kStatusUnavailable = 503;

std::string json_text(const json::Value& value) {
  rapidjson::StringBuffer buffer;
  rapidjson::Writer<rapidjson::StringBuffer> writer(buffer);
  value.Accept(writer);
  return {buffer.GetString(), buffer.GetSize()};
}

std::string encode_query(const std::string& text) {
  const std::unique_ptr<char, decltype(&std::free)> encoded(evhttp_encode_uri(text.c_str()),
                                                            &std::free);
  return encoded ? encoded.get() : text;
}

Outcome outcome_of(const HttpReply& reply) {
  switch (reply.outcome) {
    case HttpOutcome::never_sent:
      return Outcome::refused;
    case HttpOutcome::no_answer:
      return Outcome::unknown;
    case HttpOutcome::answered:
      break;
  }
  switch (reply.status) {
    case kStatusOk:
      return Outcome::done;
    case kStatusConflict:
      return Outcome::conflict;
    case kStatusTooManyRequests:
    case kStatusUnavailable:
      return Outcome::refused;
    case kStatusBadRequest:
    case kStatusNotFound:
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
  return Entry{*path, json_text(*value), ModRevision(*mod_revision)};
}

void write_operations(json::Writer& out, const Transaction& txn) {
  out.key("apply").open_list();
  for (const Put& put : txn.puts) {
    out.open().put("put", put.key).key("value").raw(put.value);
    if (put.lease_id != LeaseId{}) out.put("permit", put.lease_id.get());
    out.close();
  }
  for (const auto& key : txn.deletes) out.open().put("delete", key).close();
  out.close_list();
}

std::string encode_transaction(const Transaction& txn) {
  json::Writer out;
  out.open().key("guards").open_list();
  for (const Guard& guard : txn.guards) {
    out.open().put("path", guard.key).put("stamp", guard.mod_revision.get()).close();
  }
  out.close_list();
  if (!txn.puts.empty() || !txn.deletes.empty()) write_operations(out, txn);
  out.close();
  return out.str();
}

/// Appends the change that an item of a watch reply describes; returns false when the item is
/// malformed. An item that is neither a put nor a delete is skipped.
bool append_change(const json::Value& item, std::vector<Change>& out) {
  const auto mod_revision = json::count(item, "stamp");
  if (!mod_revision) return false;
  if (const auto put = json::text(item, "put")) {
    const json::Value* value = json::field(item, "value");
    if (value == nullptr) return false;
    out.push_back({*put, json_text(*value), ModRevision(*mod_revision)});
  } else if (const auto deleted = json::text(item, "delete")) {
    out.push_back({*deleted, std::nullopt, ModRevision(*mod_revision)});
  }
  return true;
}

}  // namespace

HttpCall read_call(const std::string& key) {
  return {EVHTTP_REQ_GET, "/store/" + key, {}, kContentType, kRequestTimeout};
}

HttpCall range_call(const std::string& prefix, const std::string& after) {
  std::string path = "/store?starts=" + encode_query(prefix) + "&limit=1000";
  if (!after.empty()) path += "&after=" + encode_query(after);
  return {EVHTTP_REQ_GET, std::move(path), {}, kContentType, kRequestTimeout * 2};
}

HttpCall commit_call(const Transaction& txn) {
  return {EVHTTP_REQ_POST, "/commit", encode_transaction(txn), kContentType, kRequestTimeout};
}

HttpCall watch_call(const std::string& prefix, Revision after, Duration hold) {
  std::string path = "/changes?starts=" + encode_query(prefix) +
                     "&after=" + std::to_string(after.get()) +
                     "&hold_ms=" + std::to_string(hold.count());
  return {EVHTTP_REQ_GET, std::move(path), {}, kContentType, hold + kRequestTimeout};
}

HttpCall create_lease_call(Duration ttl) {
  json::Writer body;
  body.open().put("ttl_ms", ttl.count()).close();
  return {EVHTTP_REQ_POST, "/leases", body.str(), kContentType, kRequestTimeout};
}

HttpCall renew_lease_call(LeaseId lease_id) {
  return {EVHTTP_REQ_POST, "/leases/" + std::to_string(lease_id.get()) + "/touch", "{}",
          kContentType, kRenewalTimeout};
}

ReadResult parse_read_reply(const HttpReply& reply) {
  ReadResult result;
  if (reply.status != kStatusOk && reply.status != kStatusNotFound) return result;
  json::Document doc;
  if (!json::parse(doc, reply.body)) return result;
  if (reply.status == kStatusNotFound) {
    result.kind = ReadResult::Kind::absent;
    return result;
  }
  result.entry = parse_entry(doc);
  if (result.entry) result.kind = ReadResult::Kind::found;
  return result;
}

std::optional<RangePage> parse_range_reply(const HttpReply& reply) {
  json::Document doc;
  if (reply.status != kStatusOk || !json::parse(doc, reply.body)) return std::nullopt;
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

CommitResult parse_commit_reply(const HttpReply& reply) {
  CommitResult result;
  result.outcome = outcome_of(reply);
  if (result.outcome != Outcome::done && result.outcome != Outcome::conflict) return result;
  // Callers wait until the records reach the reply's revision. They can't do so after a reply
  // without a revision, so its outcome counts as unknown.
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

WatchResult parse_watch_reply(const HttpReply& reply) {
  WatchResult result;
  if (reply.status == kStatusGone) result.kind = WatchResult::Kind::too_old;
  json::Document doc;
  if (reply.status != kStatusOk || !json::parse(doc, reply.body)) return result;
  const auto revision = json::count(doc, "ledger_rev");
  const json::Value* log = json::list(doc, "log");
  if (!revision || log == nullptr) return result;
  for (const auto& item : log->GetArray()) {
    if (!append_change(item, result.changes)) return result;
  }
  result.revision = Revision(*revision);
  result.kind = WatchResult::Kind::changes;
  return result;
}

LeaseResult parse_create_lease_reply(const HttpReply& reply) {
  LeaseResult result{outcome_of(reply), {}};
  json::Document doc;
  if (reply.status == kStatusOk && json::parse(doc, reply.body)) {
    result.lease_id = LeaseId(json::count(doc, "permit").value_or(0));
  }
  if (result.lease_id == LeaseId{}) result.outcome = Outcome::unknown;
  return result;
}

LeaseResult parse_renew_lease_reply(const HttpReply& reply, LeaseId lease_id) {
  return {outcome_of(reply), lease_id};
}

}  // namespace marblevale
