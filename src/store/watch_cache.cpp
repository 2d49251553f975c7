#include "store/watch_cache.hpp"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <charconv>

namespace marblevale {

namespace {

// Short enough that a question that comes while a watch is open waits little for the next.
constexpr Duration kHold{400};
constexpr Duration kPatience{1500};  // of a question; its user waits 2 s
constexpr std::size_t kMaxWaiting = 4000;
constexpr double kWatchShare = 0.4;  // of the published rate of requests, for all watches together

struct Parsed {
  RecordKind topic;
  std::string rest;  // the key after its prefix
};

std::optional<Parsed> parse_key(const std::string& key) {
  static const std::array<std::pair<std::string, RecordKind>, 7> prefixes{{
      {"mv/nodes/", RecordKind::node},
      {"mv/blocks/", RecordKind::shard},
      {"mv/jobs/", RecordKind::job},
      {"mv/grants/", RecordKind::guarantee_record},
      {"mv/slices/", RecordKind::slice},
      {"mv/machines/", RecordKind::machine},
      {"mv/hires/", RecordKind::provisioning_request},
  }};
  if (key == keys::kLeader) return Parsed{RecordKind::leader, ""};
  if (key == keys::kTypes) return Parsed{RecordKind::types, ""};
  for (const auto& [prefix, topic] : prefixes) {
    if (key.compare(0, prefix.size(), prefix) == 0) return Parsed{topic, key.substr(prefix.size())};
  }
  return std::nullopt;
}

bool is_compact(RecordKind kind, const json::Value& value) {
  return (kind == RecordKind::slice && is_compact_slice(value)) ||
         (kind == RecordKind::machine && is_compact_page(value));
}

std::optional<SliceKey> parse_slice_key(const std::string& rest) {
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return std::nullopt;
  std::uint32_t number = 0;
  const char* end = rest.data() + rest.size();
  if (std::from_chars(rest.data() + slash + 1, end, number).ptr != end) return std::nullopt;
  return SliceKey{JobId(rest.substr(0, slash)), number};
}

/// Decodes into the table, or erases; a record that can't be read is reported and left out.
template <typename Map, typename Key>
bool place(Map& table, const Key& key, const json::Document* value, ModRevision mod_revision) {
  if (value == nullptr) {
    table.erase(key);
    return true;
  }
  typename Map::mapped_type stored{{}, mod_revision};
  if (!decode(*value, stored.record)) {
    table.erase(key);
    return false;
  }
  table.insert_or_assign(key, std::move(stored));
  return true;
}

template <typename Record>
bool place(std::optional<Versioned<Record>>& slot, const json::Document* value,
           ModRevision mod_revision) {
  if (value == nullptr) {
    slot.reset();
    return true;
  }
  Versioned<Record> stored{{}, mod_revision};
  if (!decode(*value, stored.record)) return false;
  slot = std::move(stored);
  return true;
}

}  // namespace

RequestPriority binding_priority(const Records& records, const JobId& job_id) {
  const JobRecord* known = records.job(job_id);
  return known != nullptr && known->spec.endless() ? RequestPriority::service_binding
                                                   : RequestPriority::binding;
}

WatchCache::WatchCache(Loop& loop, const Clock& clock, Store& store, std::uint64_t seed)
    : metrics_(loop.metrics()),
      clock_(clock),
      store_(store),
      random_(seed),
      backoff_(Duration{100}, Duration{1000}),
      pace_{static_cast<std::int64_t>(1000.0 * static_cast<double>(store.limits().nodes) /
                                      (store.limits().rps * kWatchShare))},
      retry_(loop, [this] { state_ == State::loading ? load(load_after_) : follow(); }),
      follow_later_(loop, [this] { follow(); }),
      give_up_(loop, [this] { answer_waiting(); }) {}

RecordSize WatchCache::record_size() const {
  const StoreLimits& limits = store_.limits();
  // While a limit is only announced, versions that read no compact form may be running.
  const bool all_read =
      std::all_of(records_.nodes.begin(), records_.nodes.end(),
                  [](const auto& entry) { return entry.second.record.reads_forms >= kReadsForms; });
  return {limits.value_bytes, !limits.next && all_read};
}

bool WatchCache::observed_by_watch(const std::string& key) const {
  const auto known = mod_revisions_.find(key);
  const bool own = known != mod_revisions_.end() && known->second.get() > revision_.get();
  return !own && !removed_.contains(key);
}

void WatchCache::when_fresh(std::function<void(bool)> then) {
  if (waiting_.size() >= kMaxWaiting || !ever_loaded_) {
    then(false);
    return;
  }
  waiting_.push_back({clock_.steady(), std::move(then)});
  if (!give_up_.pending()) give_up_.start(kPatience);
}

void WatchCache::answer_waiting() {
  // The watch that was sent after the question came has told all that was committed before it.
  const SteadyTime now = clock_.steady();
  while (!waiting_.empty()) {
    const bool fresh = waiting_.front().asked < fresh_until_;
    if (!fresh && now - waiting_.front().asked < kPatience) break;
    const auto then = std::move(waiting_.front().then);
    waiting_.pop_front();
    then(fresh);
  }
  if (!waiting_.empty()) give_up_.start(kPatience - (now - waiting_.front().asked));
}

void WatchCache::begin() { load(""); }

void WatchCache::listen(std::function<void(RecordKind, const std::string&)> listener) {
  listeners_.push_back(std::move(listener));
}

void WatchCache::transition(State next, const char* why) {
  if (next == state_) return;
  spdlog::info("cache: {} ({})", next == State::loading ? "loading" : "following", why);
  state_ = next;
}

void WatchCache::retry() { retry_.start(backoff_.next(random_)); }

void WatchCache::load(const std::string& after) {
  if (after.empty()) {
    loading_.clear();
    load_from_ = Revision{};
    load_sent_ = clock_.steady();
    load_sent_wall_ = clock_.wall();
  }
  // A page that can't be had is asked for again by itself: to begin anew each time would never end
  // while the requests are short.
  load_after_ = after;
  store_.range(keys::kLive, after, [this](std::optional<RangePage> page) {
    if (!page) {
      retry();
      return;
    }
    // The watch goes on from the first page's revision, so nothing between the pages is missed.
    backoff_.reset();
    if (load_from_ == Revision{}) load_from_ = page->revision;
    for (Entry& item : page->entries) {
      loading_[item.key] = item.mod_revision;
      apply({item.key, std::move(item.value), item.mod_revision});
    }
    if (page->has_next && !page->entries.empty()) {
      load(page->entries.back().key);
      return;
    }
    std::vector<std::string> stale;
    for (const auto& [key, mod_revision] : mod_revisions_) {
      if (!loading_.contains(key) && mod_revision.get() <= load_from_.get()) stale.push_back(key);
    }
    for (const auto& key : stale) apply({key, std::nullopt, ModRevision(load_from_.get())});
    loading_.clear();
    revision_ = load_from_;
    fresh_until_ = load_sent_;
    fresh_until_wall_ = load_sent_wall_;
    ever_loaded_ = true;
    backoff_.reset();
    transition(State::following, "all records read");
    follow();
  });
}

void WatchCache::follow() {
  const SteadyTime sent = clock_.steady();
  const WallTime sent_wall = clock_.wall();
  last_follow_ = sent;
  // Where a question waits, what has changed so far is told at once.
  const Duration hold = waiting_.empty() ? kHold : Duration{0};
  store_.watch(keys::kLive, revision_, hold, [this, sent, sent_wall](const WatchResult& result) {
    switch (result.kind) {
      case WatchResult::Kind::failed:
        retry();
        return;
      case WatchResult::Kind::too_old:
        transition(State::loading, "the watch fell behind");
        load("");
        return;
      case WatchResult::Kind::changes:
        break;
    }
    const auto timed = metrics_.time(Duty::watch);
    for (const Change& change : result.changes) apply(change);
    if (result.revision > revision_) revision_ = result.revision;
    std::erase_if(removed_,
                  [this](const auto& entry) { return entry.second.get() <= revision_.get(); });
    fresh_until_ = sent;
    fresh_until_wall_ = sent_wall;
    backoff_.reset();
    answer_waiting();
    // Under many changes each watch would return at once: what comes within the pace is told
    // together, or five watches would use up the rate of requests.
    follow_later_.start(std::max(Duration{0}, pace_ - (clock_.steady() - last_follow_)));
  });
}

void WatchCache::index(const SliceRecord& slice, bool add) {
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    const TaskRecord& task = slice.tasks[i];
    if (!task.placed()) continue;
    const TaskId id{slice.job_id, slice.first_task_index() + static_cast<std::uint32_t>(i)};
    auto& there = records_.placed[task.machine_id];
    if (add) {
      there[id] = task.attempt;
    } else {
      there.erase(id);
    }
    if (there.empty()) records_.placed.erase(task.machine_id);
  }
}

// Not split yet, issue 17.
// NOLINTNEXTLINE(readability-function-size)
void WatchCache::apply(const Change& change) {
  const auto known = mod_revisions_.find(change.key);
  if (known != mod_revisions_.end() && known->second >= change.mod_revision) return;
  const auto gone = removed_.find(change.key);
  if (gone != removed_.end() && gone->second >= change.mod_revision) return;
  const auto parsed = parse_key(change.key);
  if (!parsed) return;

  json::Document doc;
  if (change.value && !json::parse(doc, *change.value)) {
    spdlog::error("cache: {} holds no object", change.key);
    return;
  }
  const json::Document* value = change.value ? &doc : nullptr;
  if (value != nullptr && is_compact(parsed->topic, *value)) {
    store_.lower_limits(LimitsEvidence::compact_record);
  }
  if (value == nullptr) {
    mod_revisions_.erase(change.key);
  } else {
    mod_revisions_[change.key] = change.mod_revision;
  }

  bool readable = true;
  std::vector<std::string> changed{parsed->rest};
  switch (parsed->topic) {
    case RecordKind::leader:
      readable = place(records_.leader, value, change.mod_revision);
      break;
    case RecordKind::types:
      readable = place(records_.types, value, change.mod_revision);
      break;
    case RecordKind::node:
      readable = place(records_.nodes, NodeId(parsed->rest), value, change.mod_revision);
      break;
    case RecordKind::shard:
      readable = place(records_.shards, ZoneId(parsed->rest), value, change.mod_revision);
      break;
    case RecordKind::job:
      readable = place(records_.jobs, JobId(parsed->rest), value, change.mod_revision);
      break;
    case RecordKind::guarantee_record:
      readable = place(records_.guarantee_records, JobId(parsed->rest), value, change.mod_revision);
      break;
    case RecordKind::machine:
      readable = place_page(change.key, value, change.mod_revision, changed);
      break;
    case RecordKind::provisioning_request:
      readable = place(records_.provisioning_requests, parsed->rest, value, change.mod_revision);
      break;
    case RecordKind::slice: {
      const auto key = parse_slice_key(parsed->rest);
      if (!key) return;
      if (const auto* old = records_.slice(key->job_id, key->number)) index(old->record, false);
      readable = place(records_.slices, *key, value, change.mod_revision);
      if (const auto* now = records_.slice(key->job_id, key->number)) index(now->record, true);
      break;
    }
  }
  if (readable) {
    records_.unreadable.erase(change.key);
  } else if (records_.unreadable.insert(change.key).second) {
    spdlog::error("cache: {} has a format that this version can't read; it is left alone",
                  change.key);
  }
  for (const auto& key : changed) {
    for (const auto& listener : listeners_) listener(parsed->topic, key);
  }
}

bool WatchCache::place_page(const std::string& key, const json::Document* value,
                            ModRevision mod_revision, std::vector<std::string>& changed) {
  // Only the machines of the page that differ from what is known are told on.
  changed.clear();
  MachinePage page;
  const bool readable = value == nullptr || decode(*value, page);
  if (!readable) page.machines.clear();
  std::set<MachineId> stale;
  if (const auto old = records_.pages.find(key); old != records_.pages.end()) {
    stale.insert(old->second.record.begin(), old->second.record.end());
  }
  std::vector<MachineId> machine_ids;
  for (MachineRecord& machine : page.machines) {
    machine_ids.push_back(machine.machine_id);
    stale.erase(machine.machine_id);
    auto& known = records_.machines[machine.machine_id];
    known.mod_revision = mod_revision;
    if (known.record == machine) continue;
    changed.push_back(machine.machine_id.get());
    known.record = std::move(machine);
  }
  for (const MachineId& machine_id : stale) {
    records_.machines.erase(machine_id);
    changed.push_back(machine_id.get());
  }
  if (value == nullptr || !readable) {
    records_.pages.erase(key);
  } else {
    records_.pages.insert_or_assign(
        key, Versioned<std::vector<MachineId>>{std::move(machine_ids), mod_revision});
  }
  return readable;
}

void WatchCache::commit(RequestPriority rank, Transaction txn,
                        std::function<void(const CommitResult&)> then) {
  auto copy = std::make_shared<Transaction>(txn);
  store_.commit(rank, std::move(txn), [this, copy, then = std::move(then)](const CommitResult& r) {
    // What the watch has told already is not taken in again: a record that was deleted before the
    // answer came would be back for good.
    if (r.outcome == Outcome::done && r.revision > revision_) {
      const ModRevision mod_revision(r.revision.get());
      for (const Put& put : copy->puts) apply({put.key, put.value, mod_revision});
      for (const auto& key : copy->deletes) {
        apply({key, std::nullopt, mod_revision});
        removed_[key] = mod_revision;
      }
    }
    then(r);
  });
}

}  // namespace marblevale
