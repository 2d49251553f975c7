#include "store/watch_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <memory>
#include <tuple>

namespace marblevale {

namespace {

// Short, so that a caller of `when_fresh` during an open watch soon gets the result of the next.
constexpr Duration kWatchHold{400};
/// The share of the published request rate for the watches of all controllers together.
constexpr double kWatchRequestShare = 0.4;
constexpr Duration kMinBackoff{100};
constexpr Duration kMaxBackoff{1000};

const char* name_of(WatchCache::State state) {
  return state == WatchCache::State::loading ? "loading" : "following";
}

bool is_compact(RecordKind kind, const json::Value& value) {
  return (kind == RecordKind::slice && is_compact_slice(value)) ||
         (kind == RecordKind::machine && is_compact_page(value));
}

/// The changes of one answer in the order of their commits. The order by key only makes the result
/// independent of the answer, because no transaction changes a key twice.
std::vector<const Change*> in_commit_order(const std::vector<Change>& changes) {
  std::vector<const Change*> ordered;
  ordered.reserve(changes.size());
  for (const Change& change : changes) ordered.push_back(&change);
  std::sort(ordered.begin(), ordered.end(), [](const Change* left, const Change* right) {
    return std::tie(left->mod_revision, left->key) < std::tie(right->mod_revision, right->key);
  });
  return ordered;
}

Duration watch_interval(const StoreLimits& limits) {
  return Duration{static_cast<std::int64_t>(1000.0 * static_cast<double>(limits.nodes) /
                                            (limits.rps * kWatchRequestShare))};
}

}  // namespace

WatchCache::WatchCache(Loop& loop, const Clock& clock, Store& store, std::uint64_t seed)
    : metrics_(loop.metrics()),
      clock_(clock),
      store_(store),
      random_(seed),
      fresh_waiters_(loop, clock, [this] { return fresh_until_.steady; }),
      watch_interval_(watch_interval(store.limits())),
      backoff_(kMinBackoff, kMaxBackoff),
      retry_timer_(loop, [this] { state_ == State::loading ? resume_load() : open_watch(); }),
      watch_timer_(loop, [this] { open_watch(); }) {}

RecordSize WatchCache::record_size() const {
  const StoreLimits& limits = store_.limits();
  // While limits are announced but not in force, controllers of a version that can't read compact
  // encodings may be running.
  const auto& nodes = records().nodes;
  const bool all_read = std::all_of(nodes.begin(), nodes.end(), [](const auto& entry) {
    return entry.second.record.newest_readable_form >= kNewestReadableForm;
  });
  return {limits.value_bytes, !limits.next && all_read};
}

bool WatchCache::observed_by_watch(const std::string& key) const {
  const auto known = mod_revisions_.find(key);
  const bool own = known != mod_revisions_.end() && known->second.get() > revision_.get();
  return !own && !own_deletions_.contains(key);
}

void WatchCache::when_fresh(std::function<void(bool fresh)> then) {
  if (!ever_loaded_) {
    then(false);
    return;
  }
  fresh_waiters_.add(std::move(then));
}

void WatchCache::begin() { begin_load(); }

void WatchCache::listen(std::function<void(RecordKind, const std::string& name)> listener) {
  listeners_.push_back(std::move(listener));
}

void WatchCache::transition(State next) {
  if (next == state_) return;
  spdlog::info("cache: state_changed from={} to={}", name_of(state_), name_of(next));
  state_ = next;
}

void WatchCache::retry() { retry_timer_.start(backoff_.next(random_)); }

void WatchCache::begin_load() {
  load_ = Load{};
  load_.started_at = current_moment();
  load_page();
}

void WatchCache::resume_load() {
  // Only the failed page is read again. A load that starts over after each failure would not finish
  // while the request budget is short.
  load_.last_key.empty() ? begin_load() : load_page();
}

void WatchCache::load_page() {
  store_.range(keys::kLive, load_.last_key, [this](std::optional<RangePage> page) {
    if (page) {
      apply_page(std::move(*page));
    } else {
      retry();
    }
  });
}

void WatchCache::apply_page(RangePage page) {
  backoff_.reset();
  // The watch continues from the first page's revision, so that it returns the changes made while
  // the other pages were read.
  if (!load_.revision) load_.revision = page.revision;
  for (Entry& entry : page.entries) {
    load_.seen_keys.insert(entry.key);
    apply({entry.key, std::move(entry.value), entry.mod_revision});
  }
  if (page.has_next && !page.entries.empty()) {
    load_.last_key = page.entries.back().key;
    load_page();
    return;
  }
  finish_load();
}

void WatchCache::erase_unseen() {
  std::vector<std::string> deleted;
  for (const auto& [key, mod_revision] : mod_revisions_) {
    if (!load_.seen_keys.contains(key) && mod_revision.get() <= load_.revision->get()) {
      deleted.push_back(key);
    }
  }
  const ModRevision mod_revision(load_.revision->get());
  for (const auto& key : deleted) apply({key, std::nullopt, mod_revision});
}

void WatchCache::finish_load() {
  erase_unseen();
  revision_ = *load_.revision;
  fresh_until_ = load_.started_at;
  load_ = Load{};
  ever_loaded_ = true;
  transition(State::following);
  open_watch();
}

void WatchCache::open_watch() {
  const Moment opened = current_moment();
  last_watch_opened_ = opened.steady;
  // If a caller of `when_fresh` waits, the watch returns the changes so far at once.
  const Duration hold = fresh_waiters_.empty() ? kWatchHold : Duration{0};
  store_.watch(keys::kLive, revision_, hold,
               [this, opened](const WatchResult& result) { handle_watch_result(result, opened); });
}

void WatchCache::handle_watch_result(const WatchResult& result, const Moment& opened) {
  switch (result.kind) {
    case WatchResult::Kind::failed:
      retry();
      return;
    case WatchResult::Kind::too_old:
      transition(State::loading);
      begin_load();
      return;
    case WatchResult::Kind::changes:
      apply_watched(result, opened);
      return;
  }
}

void WatchCache::apply_watched(const WatchResult& result, const Moment& opened) {
  const auto timed = metrics_.time(Duty::watch);
  // The copy doesn't remember the revisions of deleted keys. A deletion that was applied before an
  // older put of its key would be undone by the put.
  for (const Change* change : in_commit_order(result.changes)) apply(*change);
  if (result.revision > revision_) revision_ = result.revision;
  std::erase_if(own_deletions_,
                [this](const auto& entry) { return entry.second.get() <= revision_.get(); });
  // A watch opened after a call of `when_fresh` returns every change committed before the call.
  fresh_until_ = opened;
  backoff_.reset();
  fresh_waiters_.notify();
  // Under frequent changes each watch would return at once, and the watches of five controllers
  // would use up the request rate. The interval between watches batches the changes.
  const Duration since_opened = clock_.steady() - last_watch_opened_;
  watch_timer_.start(std::max(Duration{0}, watch_interval_ - since_opened));
}

bool WatchCache::is_outdated(const Change& change) const {
  const auto known = mod_revisions_.find(change.key);
  if (known != mod_revisions_.end() && known->second >= change.mod_revision) return true;
  const auto deleted = own_deletions_.find(change.key);
  return deleted != own_deletions_.end() && deleted->second >= change.mod_revision;
}

void WatchCache::apply(const Change& change) {
  if (is_outdated(change)) return;
  const auto parsed = parse_record_key(change.key);
  if (!parsed) return;
  json::Document doc;
  if (change.value && !json::parse(doc, *change.value)) {
    spdlog::error("cache: value_is_no_object key={}", change.key);
    doc.SetObject();  // an object without members is unreadable for every kind of record
  }
  const json::Value* value = change.value ? &doc : nullptr;
  if (value != nullptr && is_compact(parsed->kind, *value)) {
    store_.lower_limits(LimitsEvidence::compact_record);
  }
  if (value == nullptr) {
    mod_revisions_.erase(change.key);
  } else {
    mod_revisions_[change.key] = change.mod_revision;
  }
  const auto changed = table_.apply(change.key, *parsed, value, change.mod_revision);
  for (const auto& name : changed) {
    for (const auto& listener : listeners_) listener(parsed->kind, name);
  }
}

void WatchCache::commit(RequestPriority priority, Transaction txn,
                        std::function<void(const CommitResult&)> then) {
  auto sent_txn = std::make_shared<Transaction>(txn);
  store_.commit(priority, std::move(txn),
                [this, sent_txn, then = std::move(then)](const CommitResult& result) {
                  // A change that the watch has already returned is not applied again. Otherwise a
                  // record deleted before the reply arrived would reappear and never be removed.
                  if (result.outcome == Outcome::done && result.revision > revision_) {
                    apply_own_commit(*sent_txn, ModRevision(result.revision.get()));
                  }
                  then(result);
                });
}

void WatchCache::apply_own_commit(const Transaction& txn, ModRevision mod_revision) {
  for (const Put& put : txn.puts) apply({put.key, put.value, mod_revision});
  for (const auto& key : txn.deletes) {
    apply({key, std::nullopt, mod_revision});
    // The answers may arrive in another order than that of the commits.
    ModRevision& newest = own_deletions_[key];
    newest = std::max(newest, mod_revision);
  }
}

}  // namespace marblevale
