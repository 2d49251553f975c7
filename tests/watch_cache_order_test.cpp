// The order of changes: the revisions decide which change of a key is the newest, not the order in
// which changes or answers arrive at the watch cache. MARBLEVALE_SOAK_SEEDS sets the number of
// random histories, for a long run by hand.
#include <algorithm>
#include <cctype>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "store/watch_cache.hpp"
#include "support/event_queue.hpp"
#include "support/fake_time.hpp"
#include "support/helpers.hpp"
#include "support/record_dump.hpp"
#include "support/soak.hpp"
#include "support/stored_records.hpp"

namespace marblevale {
namespace {

using testing::AnswerOrder;
using testing::at;

constexpr std::uint64_t kSeedsInCi = 40;
constexpr const char* kUnreadable = R"({"v":99})";
constexpr const char* kNoObject = "[1]";

SliceRecord slice_with_placed_task(const std::string& machine_id) {
  return testing::slice_record(JobId("req-1"), {testing::bound_task(machine_id)});
}

/// The machine in a page of its zone.
MachinePage page_of(const std::string& machine_id, WallTime since) {
  return MachinePage{{testing::machine_record(machine_id, since)}};
}

/// One key of each kind of record, each with a value that depends on `version`.
std::map<std::string, std::string> record_of_each_kind(std::uint64_t version) {
  const JobId job_id("req-1");
  const NodeId node("n" + std::to_string(version));
  const ProcessIncarnation incarnation(version);
  const RecordSize size{testing::kValueBytes, false};
  GuaranteeRecord guarantee;
  guarantee.job_id = job_id;
  guarantee.note(at(static_cast<double>(version)), "granted");
  ProvisioningRequest request;
  request.name = "r-1";
  request.zone = ZoneId("a");
  request.machine_count = static_cast<std::uint32_t>(version);
  MachineType type;
  type.name = "g8";
  type.price = static_cast<double>(version);
  const std::string machine_id = "vm-" + std::to_string(version % 3);
  return {
      {keys::kLeader, encode(LeaderRecord{node, incarnation})},
      {keys::kTypes, encode(std::vector<MachineType>{type})},
      {keys::node(NodeId("n1")), encode(NodeRecord{NodeId("n1"), incarnation, LeaseId(1), 2})},
      {keys::shard(ZoneId("a")), encode(ShardRecord{ZoneId("a"), node, incarnation, version})},
      {keys::job(job_id),
       encode(testing::job_record(testing::gang("req-1", 1, 1, 60), at(double(version))))},
      {keys::guarantee_record(job_id), encode(guarantee, testing::kValueBytes)},
      {keys::slice(job_id, 0), encode(slice_with_placed_task(machine_id))},
      {keys::machine_page(ZoneId("a"), MachineId("vm-1")),
       encode(page_of(machine_id, at(static_cast<double>(version))), size)},
      {keys::provisioning_request("r-1"), encode(request)},
  };
}

/// A watch cache of one controller, and the notifications of its listener in their order.
class Controller {
 public:
  Controller() {
    cache.listen([this](RecordKind kind, const std::string& name) {
      notifications.emplace_back(kind, name);
    });
  }

  /// Loads the records and opens the first watch.
  void begin() {
    cache.begin();
    time.advance(Duration{50});
  }

  /// Answers the open watch with all changes since the last answer, and opens the next one.
  void answer_watch() {
    store.deliver_watch_events();
    time.advance(Duration{1'500});
  }

  /// Deletes the key as the controller itself.
  void remove_as_self(const std::string& key) {
    Transaction txn;
    txn.remove(key);
    cache.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
  }

  [[nodiscard]] testing::RecordDump records() const { return testing::dump(cache.records()); }

  testing::FakeTime time;
  Loop loop{&time};
  testing::ScriptedStore store;
  WatchCache cache{loop, time, store, 1};
  std::vector<std::pair<RecordKind, std::string>> notifications;
};

class RecordOfEachKind : public ::testing::TestWithParam<std::string> {
 protected:
  [[nodiscard]] static std::string value(std::uint64_t version) {
    return record_of_each_kind(version).at(GetParam());
  }

  Controller controller_;
};

std::vector<std::string> key_of_each_kind() {
  std::vector<std::string> keys;
  for (const auto& [key, value] : record_of_each_kind(1)) keys.push_back(key);
  return keys;
}

std::string test_name(const ::testing::TestParamInfo<std::string>& info) {
  std::string name = info.param;
  std::replace_if(
      name.begin(), name.end(), [](unsigned char c) { return std::isalnum(c) == 0; }, '_');
  return name;
}

INSTANTIATE_TEST_SUITE_P(AnswerOrder, RecordOfEachKind, ::testing::ValuesIn(key_of_each_kind()),
                         test_name);

// Guards against a deleted record that returns for good: an older put of its key stood behind the
// deletion in the answer. A job that was done was called running without end by this, and a
// controller that was gone or a machine that was deleted would stay.
TEST_P(RecordOfEachKind, ADeletionNamedBeforeAnOlderPutIsNotUndone) {
  controller_.begin();
  const testing::RecordDump without_record = controller_.records();
  controller_.store.answer_order = AnswerOrder::newest_first;
  controller_.store.put(GetParam(), value(1));
  controller_.store.put(GetParam(), value(2));
  controller_.store.remove(GetParam());
  controller_.answer_watch();
  EXPECT_EQ(controller_.records(), without_record);
}

TEST_P(RecordOfEachKind, ARecordWrittenAgainAfterItsDeletionStays) {
  controller_.begin();
  controller_.store.answer_order = AnswerOrder::newest_first;
  controller_.store.put(GetParam(), value(1));
  controller_.store.remove(GetParam());
  controller_.store.put(GetParam(), value(2));
  controller_.answer_watch();
  Controller in_order;
  in_order.store.put(GetParam(), value(1));
  in_order.store.remove(GetParam());
  in_order.store.put(GetParam(), value(2));
  in_order.begin();
  EXPECT_EQ(controller_.records(), in_order.records());
}

// The last readable version of the leader's record and of the types is kept. Guards against an
// order of arrival that decides which version this is.
TEST_P(RecordOfEachKind, AnUnreadableValueNamedFirstKeepsTheSameRecordAsInOrder) {
  Controller in_order;
  for (Controller* controller : {&controller_, &in_order}) {
    controller->begin();
    controller->store.put(GetParam(), value(1));
    controller->store.put(GetParam(), value(2));
    controller->store.put(GetParam(), kUnreadable);
  }
  controller_.store.answer_order = AnswerOrder::newest_first;
  controller_.answer_watch();
  in_order.answer_watch();
  EXPECT_EQ(controller_.records(), in_order.records());
  EXPECT_TRUE(controller_.cache.records().unreadable.contains(GetParam()));
}

// Guards against a value of another type that is passed over: the older record stayed in the copy
// as if it were current, and after a load the key counted as absent.
TEST_P(RecordOfEachKind, AValueThatIsNoObjectIsUnreadable) {
  Controller unreadable_object;
  for (Controller* controller : {&controller_, &unreadable_object}) {
    controller->begin();
    controller->store.put(GetParam(), value(1));
  }
  controller_.store.put(GetParam(), kNoObject);
  unreadable_object.store.put(GetParam(), kUnreadable);
  controller_.answer_watch();
  unreadable_object.answer_watch();
  EXPECT_EQ(controller_.records(), unreadable_object.records());
  EXPECT_TRUE(controller_.cache.records().unreadable.contains(GetParam()));
}

// Guards against an earlier deletion of a key that is answered after a later one and takes its
// place: a put between the two, in an answer of the watch that was on its way, brought the record
// back.
TEST(WatchCacheOrder, TheLateAnswerOfAnEarlierDeletionDoesNotReplaceALaterOne) {
  Controller controller;
  const std::string key = keys::machine_page(ZoneId("a"), MachineId("vm-1"));
  controller.store.put(key, record_of_each_kind(1).at(key));
  controller.begin();
  controller.store.hold_answers = true;
  controller.remove_as_self(key);
  const ModRevision between = controller.store.put(key, record_of_each_kind(2).at(key));
  controller.remove_as_self(key);
  auto& answers = controller.store.held_answers;
  std::swap(answers[0], answers[1]);
  controller.store.deliver_held_answers();
  controller.cache.apply({key, record_of_each_kind(2).at(key), between});
  EXPECT_TRUE(controller.cache.records().machines.empty());
}

// A random history of two controllers whose state services execute the same transactions. The
// answers to the watches of `shuffled_` name their changes in an order drawn from the seed.
class AnswerOrderHistory : public ::testing::TestWithParam<std::uint64_t> {
 protected:
  AnswerOrderHistory() : random_(GetParam()) {
    shuffled_.store.draw_answer_order(GetParam());
    for (Controller* controller : {&in_order_, &shuffled_}) {
      controller->store.page_size = 3;
      controller->begin();
    }
  }

  template <typename Action>
  void on_both(const Action& action) {
    action(in_order_);
    action(shuffled_);
  }

  std::string random_key() {
    const std::vector<std::string> keys = key_of_each_kind();
    return keys[static_cast<std::size_t>(random_.between(0, std::ssize(keys) - 1))];
  }

  std::string random_value(const std::string& key) {
    if (random_.chance(0.1)) return kUnreadable;
    if (random_.chance(0.05)) return kNoObject;
    return record_of_each_kind(static_cast<std::uint64_t>(random_.between(1, 9))).at(key);
  }

  /// Puts or deletes up to four keys at one revision.
  Transaction random_transaction() {
    std::map<std::string, bool> deleted_by_key;
    for (auto n = random_.between(1, 4); n > 0; --n) {
      deleted_by_key.emplace(random_key(), random_.chance(0.4));
    }
    Transaction txn;
    for (const auto& [key, deleted] : deleted_by_key) {
      if (deleted) {
        txn.remove(key);
      } else {
        txn.put(key, random_value(key), LeaseId(1));
      }
    }
    return txn;
  }

  void commit_as_other(const Transaction& txn) {
    on_both([&](Controller& controller) {
      controller.store.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
    });
  }

  /// Commits as the controller itself. The answer is held back until `deliver_held_answer`.
  void commit_as_self(const Transaction& txn) {
    on_both([&](Controller& controller) {
      controller.store.hold_answers = true;
      controller.cache.commit(RequestPriority::binding, txn, [](const CommitResult&) {});
      controller.store.hold_answers = loading_;
    });
  }

  /// Ends the lease to which all keys are attached.
  void end_lease() {
    Transaction txn;
    for (const std::string& key : key_of_each_kind()) txn.remove(key);
    commit_as_other(txn);
  }

  /// Forces a load of the records, whose pages are delivered one by one with the held answers.
  void begin_load() {
    loading_ = true;
    on_both([](Controller& controller) {
      controller.store.put(keys::kTypes, kUnreadable);
      controller.store.forget_changes();
      controller.store.hold_answers = true;
      controller.answer_watch();
    });
  }

  /// Delivers one of the held answers.
  void deliver_held_answer() {
    const auto held = std::ssize(in_order_.store.held_answers);
    if (held == 0) return;
    const auto index = random_.between(0, held - 1);
    on_both([&](Controller& controller) {
      auto& answers = controller.store.held_answers;
      const auto answer = std::move(answers[static_cast<std::size_t>(index)]);
      answers.erase(answers.begin() + index);
      answer();
    });
    if (in_order_.cache.state() == WatchCache::State::loading) return;
    loading_ = false;
    on_both([](Controller& controller) { controller.store.hold_answers = false; });
  }

  void random_step() {
    const auto step = random_.between(1, 20);
    if (step <= 8) return commit_as_other(random_transaction());
    if (step <= 12) return commit_as_self(random_transaction());
    if (step <= 15) return deliver_held_answer();
    if (step == 16) return end_lease();
    if (step == 17 && random_.chance(0.3)) return begin_load();
    on_both([](Controller& controller) { controller.answer_watch(); });
  }

  /// Each record's revision rises, also over its deletion.
  void expect_no_record_goes_back() {
    for (const auto& [name, revision_and_value] : shuffled_.records()) {
      if (name.starts_with("unreadable ") || name.starts_with("placed ")) continue;
      const std::uint64_t revision = std::stoull(revision_and_value);
      EXPECT_GE(revision, newest_revisions_[name]) << name;
      newest_revisions_[name] = revision;
    }
  }

  void expect_same_copies() {
    EXPECT_EQ(shuffled_.records(), in_order_.records());
    EXPECT_EQ(shuffled_.notifications, in_order_.notifications);
    EXPECT_EQ(shuffled_.cache.revision(), in_order_.cache.revision());
    for (const std::string& key : key_of_each_kind()) {
      EXPECT_EQ(shuffled_.cache.observed_by_watch(key), in_order_.cache.observed_by_watch(key))
          << key;
    }
  }

  /// Compares the copy with a load of the stored records into a new cache. A new cache does not
  /// have the last readable version of a record that can't be read.
  void expect_stored_records() {
    commit_as_other(readable_leader_and_types());
    while (!in_order_.store.held_answers.empty()) deliver_held_answer();
    on_both([](Controller& controller) { controller.answer_watch(); });
    WatchCache loaded{shuffled_.loop, shuffled_.time, shuffled_.store, 2};
    loaded.begin();
    EXPECT_EQ(shuffled_.records(), testing::dump(loaded.records()));
  }

  static Transaction readable_leader_and_types() {
    const auto values = record_of_each_kind(1);
    Transaction txn;
    for (const char* key : {keys::kLeader, keys::kTypes}) txn.put(key, values.at(key));
    return txn;
  }

  testing::RandomSource random_;
  Controller in_order_;
  Controller shuffled_;
  std::map<std::string, std::uint64_t> newest_revisions_;  // by the name in the dump
  bool loading_ = false;
};

INSTANTIATE_TEST_SUITE_P(Seeds, AnswerOrderHistory,
                         ::testing::Range(std::uint64_t{1}, 1 + testing::soak_seeds(kSeedsInCi)));

// Guards against a copy, or a sequence of notifications, that depends on the order of the changes
// within an answer: with own commits answered late, leases that end, values that can't be read, and
// loads whose pages overlap changes.
TEST_P(AnswerOrderHistory, TheCopyIsTheSameAsWithEveryAnswerInOrder) {
  constexpr int kSteps = 300;
  for (int step = 0; step < kSteps && !HasFailure(); ++step) {
    SCOPED_TRACE("step " + std::to_string(step));
    random_step();
    expect_same_copies();
    expect_no_record_goes_back();
  }
  expect_stored_records();
}

}  // namespace
}  // namespace marblevale
