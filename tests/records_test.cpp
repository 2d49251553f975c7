// Stored records: round trips, the size of the largest records, and the rejection of unknown
// formats.
#include "records/records.hpp"

#include "support/helpers.hpp"
#include "support/stored_records.hpp"

namespace marblevale {
namespace {

template <typename Record>
Record round_trip(const Record& record) {
  json::Document doc;
  Record out;
  EXPECT_TRUE(json::parse(doc, encode(record)));
  EXPECT_TRUE(decode(doc, out));
  return out;
}

MachineRecord round_trip(const MachineRecord& machine) {
  json::Document doc;
  MachinePage out;
  EXPECT_TRUE(json::parse(doc, encode(MachinePage{{machine}}, RecordSize{})));
  EXPECT_TRUE(decode(doc, out));
  return out.machines.empty() ? MachineRecord{} : out.machines.front();
}

TEST(Records, RoundTrip) {
  SliceRecord slice;
  slice.job_id = JobId("req-1");
  slice.number = 3;
  slice.tasks.resize(2);
  TaskRecord& t = slice.tasks[1];
  t.state = TaskState::bound;
  t.attempt = Attempt(4);
  t.zone = ZoneId("a");
  t.machine_id = MachineId("vm-1");
  t.epoch = WorkerEpoch(2);
  t.since = from_unix_milliseconds(5);
  t.running_since = from_unix_milliseconds(6);
  t.progress = Duration{7};
  t.failure_count = 1;
  t.stop = StopOrder{Duration{9}, StopReason("why")};
  const SliceRecord back = round_trip(slice);
  EXPECT_EQ(back.number, 3U);
  const TaskRecord& b = back.tasks.at(1);
  EXPECT_EQ(b.state, t.state);
  EXPECT_EQ(b.attempt, t.attempt);
  EXPECT_EQ(b.machine_id, t.machine_id);
  EXPECT_EQ(b.epoch, t.epoch);
  EXPECT_EQ(b.running_since, t.running_since);
  EXPECT_EQ(b.progress, t.progress);
  EXPECT_EQ(b.failure_count, t.failure_count);
  ASSERT_TRUE(b.stop);
  EXPECT_EQ(b.stop->reason.get(), "why");

  JobRecord job;
  job.spec = testing::gang("req-1", 3, 2, 50);
  job.spec.deadline = Duration{90'000};
  job.spec.machine_types = {"g8"};
  job.accepted = from_unix_milliseconds(11);
  job.cancelled = WallTime{Duration{12}};
  const JobRecord job_back = round_trip(job);
  EXPECT_EQ(job_back.spec.task_count, 3U);
  EXPECT_EQ(job_back.spec.deadline, job.spec.deadline);
  EXPECT_EQ(job_back.cancelled, job.cancelled);

  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.zone = ZoneId("a");
  machine.state = MachineState::suspect;
  machine.failed_job = JobId("req-1");
  EXPECT_EQ(round_trip(machine).failed_job, machine.failed_job);
  EXPECT_EQ(round_trip(machine).state, machine.state);
}

TEST(Records, ASliceFitsTheSmallestValueLimit) {
  SliceRecord slice;
  slice.job_id = JobId("req-" + std::string(32, 'x'));
  slice.tasks.resize(kSliceTasks);
  for (TaskRecord& t : slice.tasks) {
    t.state = TaskState::bound;
    t.attempt = Attempt(1000);
    t.zone = ZoneId("laurentides");
    t.machine_id = t.failed_on = MachineId("vm-000231");
    t.epoch = WorkerEpoch(1000);
    t.since = t.running_since = from_unix_milliseconds(1'800'000'000'000);
    t.progress = Duration{1'000'000};
    t.failure_count = 100;
    t.stop = StopOrder{Duration{100'000}, StopReason("displaced for req-000412 (guarantee)")};
  }
  EXPECT_LE(encode(slice).size(), 8192U);
}

TEST(Records, APageOfMachinesFitsTheSmallestValueLimit) {
  MachinePage page;
  for (std::uint64_t i = 0; i < kPageMachines; ++i) {
    MachineRecord m;
    m.machine_id = MachineId("vm-00" + std::to_string(1000 + i));
    m.address = "10.100.100.100:65535";
    m.machine_type = "olive-node-large";
    m.zone = ZoneId("laurentides");
    m.state = MachineState::quarantined;
    m.since = from_unix_milliseconds(1'800'000'000'000);
    m.reclaim_at = m.since;
    m.failed_job = JobId("req-" + std::string(20, 'x'));
    for (int k = 0; k < 20; ++k) note_image(m.images, ImageId("img-" + std::to_string(k)), 6, 150);
    page.machines.push_back(m);
  }
  EXPECT_LE(encode(page, RecordSize{}).size(), 8192U);
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("vm-000023")), "mv/machines/a/vm-0");
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("vm-000024")), "mv/machines/a/vm-1");
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("odd")), "mv/machines/a/odd");
}

TEST(Records, AnUnknownFormatIsRejected) {
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, R"({"v":2,"node":"n","nonce":1})"));
  LeaderRecord leader;
  EXPECT_FALSE(decode(doc, leader));
  SliceRecord slice;
  ASSERT_TRUE(json::parse(doc, R"({"v":1,"uid":"req-1","n":0,"tasks":[{"s":9}]})"));
  EXPECT_FALSE(decode(doc, slice));
}

TEST(CachedImages, TheMostRecentlyUsedWithinTheCacheSizeAreKept) {
  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.zone = ZoneId("a");
  EXPECT_TRUE(note_image(machine.images, ImageId("a"), 6, 15));
  EXPECT_TRUE(note_image(machine.images, ImageId("b"), 6, 15));
  EXPECT_FALSE(note_image(machine.images, ImageId("a"), 6, 15));  // used again: now the most recent
  EXPECT_TRUE(note_image(machine.images, ImageId("c"), 6, 15));  // drops b, the least recently used
  const MachineRecord back = round_trip(machine);
  ASSERT_EQ(back.images.size(), 2U);
  EXPECT_EQ(back.images[0].image, ImageId("a"));
  EXPECT_EQ(back.images[1].image, ImageId("c"));
}

TEST(GuaranteeNotes, TheFirstAndTheLatestAreKept) {
  GuaranteeRecord guarantee_record;
  for (int i = 0; i < 50; ++i) guarantee_record.note(from_unix_milliseconds(i), std::to_string(i));
  EXPECT_LE(guarantee_record.notes.size(), 16U);
  EXPECT_EQ(guarantee_record.notes.front().text, "0");
  EXPECT_EQ(guarantee_record.notes.back().text, "49");
}

}  // namespace
}  // namespace marblevale
