#include "store/mirror.hpp"

#include <spdlog/spdlog.h>

#include <charconv>

namespace marblevale {

namespace {

// Short enough that a question that comes while a watch is open waits little for the next.
constexpr Span kHold{400};
constexpr Span kPatience{1500};  // of a question; its user waits 2 s
constexpr std::size_t kMostWaiting = 4000;
constexpr double kWatchShare = 0.4;  // of the published rate of requests, for all watches together

struct Parsed {
  Topic topic;
  std::string rest;  // the key after its prefix
};

std::optional<Parsed> parse_key(const std::string& key) {
  static const std::array<std::pair<std::string, Topic>, 7> prefixes{{
      {"mv/nodes/", Topic::node},
      {"mv/blocks/", Topic::block},
      {"mv/jobs/", Topic::job},
      {"mv/grants/", Topic::grant},
      {"mv/slices/", Topic::slice},
      {"mv/machines/", Topic::machine},
      {"mv/hires/", Topic::hire},
  }};
  if (key == keys::kLeader) return Parsed{Topic::leader, ""};
  if (key == keys::kTypes) return Parsed{Topic::types, ""};
  for (const auto& [prefix, topic] : prefixes) {
    if (key.compare(0, prefix.size(), prefix) == 0) return Parsed{topic, key.substr(prefix.size())};
  }
  return std::nullopt;
}

std::optional<SliceKey> parse_slice_key(const std::string& rest) {
  const auto slash = rest.find('/');
  if (slash == std::string::npos) return std::nullopt;
  std::uint32_t number = 0;
  const char* end = rest.data() + rest.size();
  if (std::from_chars(rest.data() + slash + 1, end, number).ptr != end) return std::nullopt;
  return SliceKey{Uid(rest.substr(0, slash)), number};
}

/// Decodes into the table, or erases; a record that can't be read is reported and left out.
template <typename Map, typename Key>
bool place(Map& table, const Key& key, const json::Document* value, Stamp stamp) {
  if (value == nullptr) {
    table.erase(key);
    return true;
  }
  typename Map::mapped_type stored{{}, stamp};
  if (!decode(*value, stored.record)) {
    table.erase(key);
    return false;
  }
  table.insert_or_assign(key, std::move(stored));
  return true;
}

template <typename Record>
bool place(std::optional<Stored<Record>>& slot, const json::Document* value, Stamp stamp) {
  if (value == nullptr) {
    slot.reset();
    return true;
  }
  Stored<Record> stored{{}, stamp};
  if (!decode(*value, stored.record)) return false;
  slot = std::move(stored);
  return true;
}

}  // namespace

const JobRecord* Records::job(const Uid& uid) const {
  const auto it = jobs.find(uid);
  return it == jobs.end() ? nullptr : &it->second.record;
}

const Stored<SliceRecord>* Records::slice(const Uid& uid, std::uint32_t number) const {
  const auto it = slices.find({uid, number});
  return it == slices.end() ? nullptr : &it->second;
}

const TaskRecord* Records::task(const TaskId& id) const {
  const auto* stored = slice(id.uid, id.part / kSliceTasks);
  const std::size_t at = id.part % kSliceTasks;
  return stored == nullptr || at >= stored->record.tasks.size() ? nullptr
                                                                : &stored->record.tasks[at];
}

const MachineType* Records::type(const std::string& name) const {
  if (!types) return nullptr;
  for (const auto& type : types->record) {
    if (type.name == name) return &type;
  }
  return nullptr;
}

bool Records::alive(const NodeId& node, Nonce nonce) const {
  const auto it = nodes.find(node);
  return it != nodes.end() && it->second.record.nonce == nonce;
}

Mirror::Mirror(Loop& loop, const Clock& clock, Store& store, std::uint64_t seed)
    : meter_(loop.meter()),
      clock_(clock),
      store_(store),
      random_(seed),
      backoff_(Span{100}, Span{1000}),
      pace_{static_cast<std::int64_t>(1000.0 * static_cast<double>(store.limits().nodes) /
                                      (store.limits().rps * kWatchShare))},
      retry_(loop, [this] { state_ == State::loading ? load(load_after_) : follow(); }),
      follow_later_(loop, [this] { follow(); }),
      give_up_(loop, [this] { answer_waiting(); }) {}

void Mirror::when_fresh(std::function<void(bool)> then) {
  if (waiting_.size() >= kMostWaiting || !ever_loaded_) {
    then(false);
    return;
  }
  waiting_.push_back({clock_.steady(), std::move(then)});
  if (!give_up_.pending()) give_up_.start(kPatience);
}

void Mirror::answer_waiting() {
  // The watch that was sent after the question came has told all that was committed before it.
  const Steady now = clock_.steady();
  while (!waiting_.empty()) {
    const bool fresh = waiting_.front().asked < fresh_until_;
    if (!fresh && now - waiting_.front().asked < kPatience) break;
    const auto then = std::move(waiting_.front().then);
    waiting_.pop_front();
    then(fresh);
  }
  if (!waiting_.empty()) give_up_.start(kPatience - (now - waiting_.front().asked));
}

void Mirror::begin() { load(""); }

void Mirror::listen(std::function<void(Topic, const std::string&)> listener) {
  listeners_.push_back(std::move(listener));
}

void Mirror::transition(State next, const char* why) {
  if (next == state_) return;
  spdlog::info("mirror: {} ({})", next == State::loading ? "loading" : "following", why);
  state_ = next;
}

void Mirror::again() { retry_.start(backoff_.next(random_)); }

void Mirror::load(const std::string& after) {
  if (after.empty()) {
    loading_.clear();
    load_from_ = Revision{};
    load_sent_ = clock_.steady();
    load_sent_wall_ = clock_.wall();
  }
  // A page that can't be had is asked for again by itself: to begin anew each time would never end
  // while the requests are short.
  load_after_ = after;
  store_.range(keys::kLive, after, [this](RangeResult result) {
    if (!result.ok) {
      again();
      return;
    }
    // The watch goes on from the first page's revision, so nothing between the pages is missed.
    backoff_.reset();
    if (load_from_ == Revision{}) load_from_ = result.revision;
    for (Entry& item : result.items) {
      loading_[item.key] = item.stamp;
      apply({item.key, std::move(item.value), item.stamp});
    }
    if (result.has_next && !result.items.empty()) {
      load(result.items.back().key);
      return;
    }
    std::vector<std::string> stale;
    for (const auto& [key, stamp] : stamps_) {
      if (!loading_.contains(key) && stamp.get() <= load_from_.get()) stale.push_back(key);
    }
    for (const auto& key : stale) apply({key, std::nullopt, Stamp(load_from_.get())});
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

void Mirror::follow() {
  const Steady sent = clock_.steady();
  const Wall sent_wall = clock_.wall();
  last_follow_ = sent;
  // Where a question waits, what has changed so far is told at once.
  const Span hold = waiting_.empty() ? kHold : Span{0};
  store_.watch(keys::kLive, revision_, hold, [this, sent, sent_wall](const WatchResult& result) {
    switch (result.kind) {
      case WatchResult::Kind::failed:
        again();
        return;
      case WatchResult::Kind::too_old:
        transition(State::loading, "the watch fell behind");
        load("");
        return;
      case WatchResult::Kind::changes:
        break;
    }
    const auto timed = meter_.time(Duty::watch);
    for (const Change& change : result.log) apply(change);
    if (result.revision > revision_) revision_ = result.revision;
    std::erase_if(removed_,
                  [this](const auto& entry) { return entry.second.get() <= revision_.get(); });
    fresh_until_ = sent;
    fresh_until_wall_ = sent_wall;
    backoff_.reset();
    answer_waiting();
    // Under many changes each watch would return at once: what comes within the pace is told
    // together, or five watches would use up the rate of requests.
    follow_later_.start(std::max(Span{0}, pace_ - (clock_.steady() - last_follow_)));
  });
}

void Mirror::index(const SliceRecord& slice, bool add) {
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    const TaskRecord& task = slice.tasks[i];
    if (!task.placed()) continue;
    const TaskId id{slice.uid, slice.first_part() + static_cast<std::uint32_t>(i)};
    auto& there = records_.placed[task.host];
    if (add) {
      there[id] = task.attempt;
    } else {
      there.erase(id);
    }
    if (there.empty()) records_.placed.erase(task.host);
  }
}

void Mirror::apply(const Change& change) {
  const auto known = stamps_.find(change.key);
  if (known != stamps_.end() && known->second >= change.stamp) return;
  const auto gone = removed_.find(change.key);
  if (gone != removed_.end() && gone->second >= change.stamp) return;
  const auto parsed = parse_key(change.key);
  if (!parsed) return;

  json::Document doc;
  if (change.value && !json::parse(doc, *change.value)) {
    spdlog::error("mirror: {} holds no object", change.key);
    return;
  }
  const json::Document* value = change.value ? &doc : nullptr;
  if (value == nullptr) {
    stamps_.erase(change.key);
  } else {
    stamps_[change.key] = change.stamp;
  }

  bool readable = true;
  std::vector<std::string> changed{parsed->rest};
  switch (parsed->topic) {
    case Topic::leader:
      readable = place(records_.leader, value, change.stamp);
      break;
    case Topic::types:
      readable = place(records_.types, value, change.stamp);
      break;
    case Topic::node:
      readable = place(records_.nodes, NodeId(parsed->rest), value, change.stamp);
      break;
    case Topic::block:
      readable = place(records_.blocks, ZoneId(parsed->rest), value, change.stamp);
      break;
    case Topic::job:
      readable = place(records_.jobs, Uid(parsed->rest), value, change.stamp);
      break;
    case Topic::grant:
      readable = place(records_.grants, Uid(parsed->rest), value, change.stamp);
      break;
    case Topic::machine:
      readable = place_page(change.key, value, change.stamp, changed);
      break;
    case Topic::hire:
      readable = place(records_.hires, parsed->rest, value, change.stamp);
      break;
    case Topic::slice: {
      const auto key = parse_slice_key(parsed->rest);
      if (!key) return;
      if (const auto* old = records_.slice(key->first, key->second)) index(old->record, false);
      readable = place(records_.slices, *key, value, change.stamp);
      if (const auto* now = records_.slice(key->first, key->second)) index(now->record, true);
      break;
    }
  }
  if (readable) {
    records_.unreadable.erase(change.key);
  } else if (records_.unreadable.insert(change.key).second) {
    spdlog::error("mirror: {} has a format that this version can't read; it is left alone",
                  change.key);
  }
  for (const auto& key : changed) {
    for (const auto& listener : listeners_) listener(parsed->topic, key);
  }
}

bool Mirror::place_page(const std::string& key, const json::Document* value, Stamp stamp,
                        std::vector<std::string>& changed) {
  // Only the machines of the page that differ from what is known are told on.
  changed.clear();
  MachinePage page;
  const bool readable = value == nullptr || decode(*value, page);
  if (!readable) page.machines.clear();
  std::set<HostId> stale;
  if (const auto old = records_.pages.find(key); old != records_.pages.end()) {
    stale.insert(old->second.record.begin(), old->second.record.end());
  }
  std::vector<HostId> hosts;
  for (MachineRecord& machine : page.machines) {
    hosts.push_back(machine.host);
    stale.erase(machine.host);
    auto& known = records_.machines[machine.host];
    known.stamp = stamp;
    if (known.record == machine) continue;
    changed.push_back(machine.host.get());
    known.record = std::move(machine);
  }
  for (const HostId& host : stale) {
    records_.machines.erase(host);
    changed.push_back(host.get());
  }
  if (value == nullptr || !readable) {
    records_.pages.erase(key);
  } else {
    records_.pages.insert_or_assign(key, Stored<std::vector<HostId>>{std::move(hosts), stamp});
  }
  return readable;
}

void Mirror::commit(Rank rank, Txn txn, std::function<void(const CommitResult&)> then) {
  auto copy = std::make_shared<Txn>(txn);
  store_.commit(rank, std::move(txn), [this, copy, then = std::move(then)](const CommitResult& r) {
    // What the watch has told already is not taken in again: a record that was deleted before the
    // answer came would be back for good.
    if (r.fate == Fate::done && r.revision > revision_) {
      const Stamp stamp(r.revision.get());
      for (const Put& put : copy->puts) apply({put.key, put.value, stamp});
      for (const auto& key : copy->deletes) {
        apply({key, std::nullopt, stamp});
        removed_[key] = stamp;
      }
    }
    then(r);
  });
}

}  // namespace marblevale
