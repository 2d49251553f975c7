// Limits of the state service that fall without notice: records fit the smaller values, are written
// so that the version in production reads them until then, and none stays stuck.
#include "config/settings.hpp"
#include "leader/open_releases.hpp"
#include "records/compact_encoding.hpp"
#include "support/leader_loop_fixture.hpp"
#include "support/shard_holder_fixture.hpp"

namespace marblevale {
namespace {

using testing::Script;

constexpr std::size_t kLoweredBytes = 2048;
constexpr RecordSize kLowered{kLoweredBytes, true};

template <typename Record>
Record read_back(const std::string& text) {
  json::Document doc;
  Record out;
  EXPECT_TRUE(json::parse(doc, text));
  EXPECT_TRUE(decode(doc, out)) << text;
  return out;
}

/// A slice as large as they come: each task placed, failed before, and about to be stopped.
SliceRecord largest_slice() {
  SliceRecord slice;
  slice.job_id = JobId("req-" + std::string(32, 'x'));
  slice.number = 1500;
  slice.tasks.resize(kSliceTasks);
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    const auto n = static_cast<std::int64_t>(i);
    TaskRecord& t = slice.tasks[i];
    t.state = TaskState::bound;
    t.attempt = Attempt(100 + i);
    t.zone = ZoneId(i % 2 == 0 ? "laurentides" : "mauricie");
    t.machine_id = MachineId("vm-0" + std::to_string(12'345 + i));
    t.failed_on = MachineId("vm-0" + std::to_string(54'321 + i));
    t.epoch = WorkerEpoch(2 + i);
    t.since = from_unix_milliseconds(1'800'000'000'000 + n * 999'123);
    t.running = t.since + Duration{95'000};
    t.progress = Duration{1'234'567};
    t.faults = 9;
    t.stop = StopOrder{Duration{12'345}, "displaced for req-" + std::to_string(i) + " (guarantee)"};
  }
  return slice;
}

void expect_equal(const TaskRecord& a, const TaskRecord& b) {
  EXPECT_EQ(a.state, b.state);
  EXPECT_EQ(a.attempt, b.attempt);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_EQ(a.machine_id, b.machine_id);
  EXPECT_EQ(a.epoch, b.epoch);
  EXPECT_EQ(a.since, b.since);
  EXPECT_EQ(a.running, b.running);
  EXPECT_EQ(a.progress, b.progress);
  EXPECT_EQ(a.faults, b.faults);
  EXPECT_EQ(a.failed_on, b.failed_on);
  ASSERT_EQ(a.stop.has_value(), b.stop.has_value());
  if (!a.stop) return;
  EXPECT_EQ(a.stop->grace_period, b.stop->grace_period);
  EXPECT_EQ(a.stop->reason, b.stop->reason);
}

TEST(CompactSlice, ComesBackAsItWasWritten) {
  SliceRecord slice;
  slice.job_id = JobId("req-1");
  slice.number = 3;
  slice.tasks.resize(30);
  slice.tasks[0].since = from_unix_milliseconds(1'800'000'000'000);
  TaskRecord& bound = slice.tasks[1];
  bound = largest_slice().tasks[5];
  bound.machine_id = MachineId("a-machine-without-number");
  bound.failed_on = MachineId("vm-7");  // another width than the others
  TaskRecord& released = slice.tasks[2];
  released.state = TaskState::released;
  released.attempt = Attempt(1);
  released.zone = ZoneId("a");
  released.machine_id = MachineId("vm-000007");
  released.since = from_unix_milliseconds(1'800'000'000'001);
  slice.tasks[3].state = TaskState::done;
  slice.tasks[3].since = from_unix_milliseconds(1'799'999'999'999);
  const std::string text = encode(slice, {encode(slice).size() - 1, true});
  ASSERT_NE(text, encode(slice));
  const auto back = read_back<SliceRecord>(text);
  EXPECT_EQ(back.job_id, slice.job_id);
  EXPECT_EQ(back.number, slice.number);
  ASSERT_EQ(back.tasks.size(), slice.tasks.size());
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    SCOPED_TRACE(i);
    expect_equal(back.tasks[i], slice.tasks[i]);
  }
}

TEST(CompactSlice, TheLargestFitsTheLoweredValue) {
  const SliceRecord slice = largest_slice();
  ASSERT_GT(encode(slice).size(), kLoweredBytes);
  const std::string text = encode(slice, kLowered);
  EXPECT_LE(text.size(), kLoweredBytes);
  const auto back = read_back<SliceRecord>(text);
  ASSERT_EQ(back.tasks.size(), slice.tasks.size());
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    SCOPED_TRACE(i);
    // What a rule needs is exact; times and reasons may be rougher.
    EXPECT_EQ(back.tasks[i].state, slice.tasks[i].state);
    EXPECT_EQ(back.tasks[i].attempt, slice.tasks[i].attempt);
    EXPECT_EQ(back.tasks[i].machine_id, slice.tasks[i].machine_id);
    EXPECT_EQ(back.tasks[i].zone, slice.tasks[i].zone);
    EXPECT_EQ(back.tasks[i].epoch, slice.tasks[i].epoch);
    EXPECT_EQ(back.tasks[i].faults, slice.tasks[i].faults);
    EXPECT_TRUE(back.tasks[i].stop);
    EXPECT_LE(back.tasks[i].since, slice.tasks[i].since);
    EXPECT_GT(back.tasks[i].since + Duration{1000}, slice.tasks[i].since);
    EXPECT_NE(back.tasks[i].running, WallTime{});
  }
  EXPECT_EQ(encode(back, kLowered), text) << "written again it changes no further";
}

TEST(CompactSlice, TwistedBytesAreRefusedAndNeverCrash) {
  const std::string text = encode(largest_slice(), kLowered);
  const auto begin = text.find("\"tasks\":\"") + 9;
  for (std::size_t i = begin; i < begin + 200; ++i) {
    std::string twisted = text;
    twisted[i] = twisted[i] == 'f' ? 'A' : 'f';
    json::Document doc;
    SliceRecord out;
    if (json::parse(doc, twisted)) decode(doc, out);
    twisted.erase(i, 7);
    SliceRecord shorter;
    if (!json::parse(doc, twisted)) continue;
    EXPECT_FALSE(decode(doc, shorter)) << "bytes are missing";
  }
  json::Document doc;
  SliceRecord out;
  ASSERT_TRUE(json::parse(doc, R"({"v":3,"uid":"req-1","n":0,"count":1,"base":0,"unit":1,)"
                               R"("tasks":"","host":"","digits":0,"hosts":[],"zones":[],)"
                               R"("reasons":[]})"));
  EXPECT_FALSE(decode(doc, out)) << "a task is missing";
  ByteWriter far;
  for (const std::uint64_t n : {std::uint64_t{0}, std::uint64_t{1}, ~std::uint64_t{0}}) far.put(n);
  ASSERT_TRUE(json::parse(
      doc, R"({"v":3,"uid":"req-1","n":0,"count":1,"base":9000000000000000000,)"
           R"("unit":1000,"tasks":")" +
               far.base64() + R"(","host":"","digits":0,"hosts":[],"zones":[],"reasons":[]})"));
  EXPECT_FALSE(decode(doc, out)) << "a time that would overflow";
}

MachinePage largest_page(bool blamed) {
  MachinePage page;
  for (std::uint64_t i = 0; i < kPageMachines; ++i) {
    MachineRecord m;
    m.machine_id = MachineId("vm-00" + std::to_string(1000 + i));
    m.address = "10.100.100.1" + std::to_string(10 + i) + ":65535";
    m.machine_type = "olive-node-large";
    m.zone = ZoneId("laurentides");
    m.state = MachineState::quarantined;
    m.since = from_unix_milliseconds(1'800'000'000'000 + static_cast<std::int64_t>(i) * 999'999);
    m.reclaim_at = m.since + Duration{15'000};
    m.spot = i % 2 == 0;
    if (blamed) m.blamed = JobId("req-" + std::string(30, 'x') + std::to_string(10 + i));
    for (int k = 0; k < 20; ++k) {
      note_image(m.images, ImageId("img-" + std::to_string(k)), 6.25 + k, 1e6);
    }
    page.machines.push_back(m);
  }
  return page;
}

TEST(CompactPage, ComesBackAsItWasWritten) {
  MachinePage page = largest_page(true);
  page.machines.resize(4);
  page.machines[1].reclaim_at.reset();
  page.machines[2].blamed = JobId{};
  page.machines[3].images.clear();
  for (MachineRecord& m : page.machines) {
    if (m.images.size() > 12) m.images.erase(m.images.begin(), m.images.end() - 12);
  }
  const std::string text = encode(page, {encode(page, RecordSize{}).size() - 1, true});
  const auto back = read_back<MachinePage>(text);
  EXPECT_EQ(back.machines, page.machines);
}

TEST(CompactPage, TheLargestFitsTheLoweredValue) {
  for (const bool blamed : {false, true}) {
    const MachinePage page = largest_page(blamed);
    ASSERT_GT(encode(page, {kLoweredBytes, false}).size(), kLoweredBytes)
        << "the plain form does not fit even without images";
    const std::string text = encode(page, kLowered);
    EXPECT_LE(text.size(), kLoweredBytes);
    const auto back = read_back<MachinePage>(text);
    ASSERT_EQ(back.machines.size(), page.machines.size());
    for (std::size_t i = 0; i < page.machines.size(); ++i) {
      EXPECT_EQ(back.machines[i].machine_id, page.machines[i].machine_id);
      EXPECT_EQ(back.machines[i].address, page.machines[i].address);
      EXPECT_EQ(back.machines[i].state, page.machines[i].state);
      EXPECT_EQ(back.machines[i].reclaim_at, page.machines[i].reclaim_at);
      EXPECT_EQ(back.machines[i].since, page.machines[i].since);
    }
  }
}

TEST(Notes, GiveWayWhereTheRecordIsTooLarge) {
  GuaranteeRecord guarantee_record;
  guarantee_record.job_id = JobId("req-" + std::string(32, 'x'));
  FinalRecord ended;
  for (int i = 0; i < 16; ++i) {
    guarantee_record.note(from_unix_milliseconds(i),
                          std::to_string(i) + " " + std::string(200, 'y'));
  }
  ended.notes = guarantee_record.notes;
  const std::string text = encode(guarantee_record, kLoweredBytes);
  EXPECT_LE(text.size(), kLoweredBytes);
  const auto back = read_back<GuaranteeRecord>(text);
  EXPECT_EQ(back.notes.front().what.substr(0, 2), "0 ") << "what was granted at arrival";
  EXPECT_EQ(back.notes.back().what.substr(0, 3), "15 ") << "the latest";
  EXPECT_LE(encode(ended, kLoweredBytes).size(), kLoweredBytes);
}

TEST(StoreLimits, OperationsFitNowAndLater) {
  StoreLimits limits;
  limits.txn_ops = 16;
  limits.value_bytes = 8192;
  EXPECT_EQ(limits.max_operations(), 16U);
  limits.next = AnnouncedLimits{100, 50, 2048, 5};
  EXPECT_EQ(limits.max_operations(), 5U);
  EXPECT_EQ(limits.lasting_value_bytes(), 2048U);
  limits.next = AnnouncedLimits{100, 50, 65'536, 40};
  EXPECT_EQ(limits.max_operations(), 16U) << "the present limits hold as well";
  EXPECT_EQ(limits.lasting_value_bytes(), 8192U);
}

TEST(StoreLimits, OnlyARefusedLargeValueTellsOfThem) {
  StoreLimits limits;
  Transaction small;
  small.put("a", std::string(100, 'x'));
  Transaction large;
  large.put("a", std::string(3000, 'x'));
  Transaction over;
  over.put("a", std::string(9000, 'x'));
  EXPECT_FALSE(exceeds_announced(large, limits)) << "none are announced";
  limits.next = AnnouncedLimits{100, 50, 2048, 5};
  EXPECT_FALSE(exceeds_announced(small, limits));
  EXPECT_TRUE(exceeds_announced(large, limits));
  EXPECT_FALSE(exceeds_announced(over, limits)) << "the present limits refuse it as well";
}

class StoreLimitReductionTest : public testing::ShardHolderTest {
 protected:
  /// An array whose 64 tasks are released to vm-1: its slice is too large for the lowered limit.
  void release_large_slice() {
    const JobSpec spec = testing::batch("req-1", kSliceTasks, 0, 100);
    store_.put(keys::job(spec.job_id), encode(JobRecord{spec, time_.wall(), std::nullopt}));
    SliceRecord slice;
    slice.job_id = spec.job_id;
    slice.tasks.resize(kSliceTasks);
    for (TaskRecord& task : slice.tasks) {
      task.state = TaskState::released;
      task.attempt = Attempt(1);
      task.zone = ZoneId("a");
      task.machine_id = MachineId("vm-1");
      task.since = time_.wall();
      task.progress = Duration{1'234'567};
    }
    store_.put(keys::slice(slice.job_id, 0), encode(slice));
  }

  /// The machine reports the first task as ended, and what has to be written is written.
  void end_first_task() {
    handle_heartbeat(1, token(), task_status("ended", "done"));
    run(Duration{12'000});
  }

  [[nodiscard]] std::string stored_slice() const {
    return store_.get(keys::slice(JobId("req-1"), 0))->value;
  }

  void bind_large_slice() {
    store_.announce_limits(kLoweredBytes, 5);
    handle_heartbeat(1, 0);
    run(Duration{50});
    handle_heartbeat(1, token());
    release_large_slice();
    run(Duration{1'000});
    ASSERT_EQ(task().state, TaskState::bound);
  }
};

TEST_F(StoreLimitReductionTest, WhatIsOnlyAnnouncedChangesNoForm) {
  bind_large_slice();
  EXPECT_GT(stored_slice().size(), kLoweredBytes);
  EXPECT_NE(stored_slice().find("{\"v\":2,"), std::string::npos) << "older versions read only this";
}

TEST_F(StoreLimitReductionTest, ALargeRecordIsRewrittenOnceTheyAreInForce) {
  bind_large_slice();
  store_.enforces_announced = true;
  end_first_task();
  EXPECT_EQ(store_.refused_for_size, 1)
      << "what was refused for its size is not sent again as it is";
  EXPECT_LE(stored_slice().size(), kLoweredBytes);
  EXPECT_EQ(task().state, TaskState::done);
}

TEST_F(StoreLimitReductionTest, NoCompactFormWhileAControllerLivesThatCannotReadIt) {
  bind_large_slice();
  store_.put(keys::node(NodeId("other")), R"({"v":1,"node":"other","nonce":3,"permit":9})");
  run(Duration{100});
  store_.enforces_announced = true;
  end_first_task();
  EXPECT_GT(stored_slice().size(), kLoweredBytes);
  EXPECT_EQ(task().state, TaskState::bound) << "nothing was lost: it waits";
  NodeRecord renewed{NodeId("other"), ProcessIncarnation(4), LeaseId(9), kReadsForms};
  store_.put(keys::node(NodeId("other")), encode(renewed));
  run(Duration{12'000});
  EXPECT_EQ(task().state, TaskState::done);
  EXPECT_LE(stored_slice().size(), kLoweredBytes);
}

TEST_F(StoreLimitReductionTest, ACompactRecordTellsOfThemAsWell) {
  bind_large_slice();
  SliceRecord slice = largest_slice();
  slice.job_id = JobId("req-2");
  store_.put(keys::slice(slice.job_id, slice.number), encode(slice, kLowered));
  run(Duration{50});
  EXPECT_TRUE(cache_.record_size().compact_allowed);
  EXPECT_EQ(cache_.record_size().max_bytes, kLoweredBytes);
}

TEST(OpenReleases, AreSentAgainInTheFormThatFits) {
  // The first commit goes without an answer; by the time of its repeat the limits are lower. Sent
  // again as it was it would be refused for ever, and its room would count for ever.
  testing::FakeTime time;
  Loop loop(&time);
  testing::ScriptedStore store;
  WatchCache cache(loop, time, store, 1);
  cache.begin();
  OpenReleases releases;
  releases.begin_term(ModRevision(1));
  SliceChangeRequest request;
  request.slices = {largest_slice()};
  const SliceRecord& slice = request.slices.front();
  const std::string key = keys::slice(slice.job_id, slice.number);
  request.txn.guard(key, ModRevision{}).put(key, encode(slice));
  const ReleaseId id = releases.add(request, cache.records());
  EXPECT_EQ(releases.mark_sent(id, RecordSize{}).puts.front().value, encode(slice));
  releases.on_commit_answer(id, {}, time.steady());
  const Transaction again = releases.mark_sent(id, kLowered);
  EXPECT_LE(again.puts.front().value.size(), kLoweredBytes);
  EXPECT_EQ(again.guards, request.txn.guards);
}

class WideGangTest : public testing::LeaderLoopTest {
 protected:
  static constexpr std::uint32_t kTasks = 7 * kSliceTasks;

  void begin_with_wide_gang() {
    store_.announce_limits(kLoweredBytes, 5);
    store_.enforces_announced = true;
    settings_.teams[0].gpus = settings_.teams[0].gpus_max = 1000;
    for (int i = 0; i < 60; ++i) machine("vm-" + std::to_string(1000 + i));
    begin();
    submit(testing::gang("req-1", kTasks, 1, 60));
  }
  [[nodiscard]] std::map<Attempt, std::size_t> placed_by_attempt() const {
    std::map<Attempt, std::size_t> out;
    for (const auto& [key, slice] : cache_.records().slices) {
      for (const TaskRecord& task : slice.record.tasks) {
        if (task.placed()) ++out[task.attempt];
      }
    }
    return out;
  }
};

TEST_F(WideGangTest, IsReleasedInStepsThatFitOneTransactionEach) {
  begin_with_wide_gang();
  // A step that is refused is sent again: the tasks of the other would wait for it in vain.
  store_.key_scripts[keys::slice(JobId("req-1"), 6)] = {Script::refuse};
  run(Duration{3'000});
  EXPECT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), kTasks}}));
}

// The leader ends between the steps: what was released counts, and the rest is not released beside
// it under another attempt.
TEST_F(WideGangTest, IsLeftAloneWhereOnlyAStepWasCarriedOut) {
  begin_with_wide_gang();
  store_.lower_limits(LimitsEvidence::compact_record);
  auto& last_step = store_.key_scripts[keys::slice(JobId("req-1"), 6)];
  last_step.assign(10'000, Script::drop_request);
  for (int i = 0; i < 400 && placed_by_attempt().empty(); ++i) run(Duration{10});
  ASSERT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), 5 * kSliceTasks}}));
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("other"), ProcessIncarnation(9)}));
  run(Duration{100});
  last_step.clear();
  store_.put(keys::kLeader, encode(LeaderRecord{NodeId("me"), ProcessIncarnation(7)}));
  run(Duration{3'000});
  EXPECT_EQ(placed_by_attempt(), (std::map<Attempt, std::size_t>{{Attempt(1), 5 * kSliceTasks}}));
}

}  // namespace
}  // namespace marblevale
