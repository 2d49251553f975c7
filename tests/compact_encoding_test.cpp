// The compact encoding of slices and machine pages: it fits the lowered limits, round-trips, and
// rejects corrupt bytes.
#include "records/compact_encoding.hpp"

#include "support/large_records.hpp"
#include "support/stored_records.hpp"

namespace marblevale {
namespace {

using testing::kLoweredBytes;
using testing::kLoweredSize;
using testing::largest_slice;

void expect_equal(const TaskRecord& a, const TaskRecord& b) {
  EXPECT_EQ(a.state, b.state);
  EXPECT_EQ(a.attempt, b.attempt);
  EXPECT_EQ(a.zone, b.zone);
  EXPECT_EQ(a.machine_id, b.machine_id);
  EXPECT_EQ(a.epoch, b.epoch);
  EXPECT_EQ(a.since, b.since);
  EXPECT_EQ(a.running_since, b.running_since);
  EXPECT_EQ(a.progress, b.progress);
  EXPECT_EQ(a.failure_count, b.failure_count);
  EXPECT_EQ(a.failed_on, b.failed_on);
  ASSERT_EQ(a.stop.has_value(), b.stop.has_value());
  if (!a.stop) return;
  EXPECT_EQ(a.stop->grace_period, b.stop->grace_period);
  EXPECT_EQ(a.stop->reason, b.stop->reason);
}

template <typename Record>
Record read_back(const std::string& text) {
  json::Document doc;
  Record out;
  EXPECT_TRUE(json::parse(doc, text));
  EXPECT_TRUE(decode(doc, out)) << text;
  return out;
}

TEST(CompactSlice, RoundTrips) {
  SliceRecord slice;
  slice.job_id = JobId("req-1");
  slice.number = 3;
  slice.tasks.resize(30);
  slice.tasks[0].since = from_unix_milliseconds(1'800'000'000'000);
  TaskRecord& bound = slice.tasks[1];
  bound = largest_slice().tasks[5];
  bound.machine_id = MachineId("a-machine-without-number");
  bound.failed_on = MachineId("vm-7");  // fewer digits than the other names
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

TEST(CompactSlice, TheLargestFitsTheLoweredLimit) {
  const SliceRecord slice = largest_slice();
  ASSERT_GT(encode(slice).size(), kLoweredBytes);
  const std::string text = encode(slice, kLoweredSize);
  EXPECT_LE(text.size(), kLoweredBytes);
  const auto back = read_back<SliceRecord>(text);
  ASSERT_EQ(back.tasks.size(), slice.tasks.size());
  for (std::size_t i = 0; i < slice.tasks.size(); ++i) {
    SCOPED_TRACE(i);
    // Fields on which decisions depend are exact. Times may be rounded, and reasons replaced.
    EXPECT_EQ(back.tasks[i].state, slice.tasks[i].state);
    EXPECT_EQ(back.tasks[i].attempt, slice.tasks[i].attempt);
    EXPECT_EQ(back.tasks[i].machine_id, slice.tasks[i].machine_id);
    EXPECT_EQ(back.tasks[i].zone, slice.tasks[i].zone);
    EXPECT_EQ(back.tasks[i].epoch, slice.tasks[i].epoch);
    EXPECT_EQ(back.tasks[i].failure_count, slice.tasks[i].failure_count);
    EXPECT_TRUE(back.tasks[i].stop);
    EXPECT_LE(back.tasks[i].since, slice.tasks[i].since);
    EXPECT_GT(back.tasks[i].since + Duration{1000}, slice.tasks[i].since);
    EXPECT_NE(back.tasks[i].running_since, WallTime{});
  }
  EXPECT_EQ(encode(back, kLoweredSize), text) << "written again it changes no further";
}

TEST(CompactSlice, CorruptBytesAreRejected) {
  const std::string text = encode(largest_slice(), kLoweredSize);
  const auto begin = text.find(R"("tasks":")") + 9;
  for (std::size_t i = begin; i < begin + 200; ++i) {
    std::string corrupted = text;
    corrupted[i] = corrupted[i] == 'f' ? 'A' : 'f';
    json::Document doc;
    SliceRecord out;
    if (json::parse(doc, corrupted)) decode(doc, out);
    corrupted.erase(i, 7);
    SliceRecord shorter;
    if (!json::parse(doc, corrupted)) continue;
    EXPECT_FALSE(decode(doc, shorter)) << "bytes are missing";
  }
  json::Document doc;
  SliceRecord out;
  ASSERT_TRUE(json::parse(doc, R"({"v":3,"uid":"req-1","n":0,"count":1,"base":0,"unit":1,)"
                               R"("tasks":"","host":"","digits":0,"hosts":[],"zones":[],)"
                               R"("reasons":[]})"));
  EXPECT_FALSE(decode(doc, out)) << "a task is missing";
  ByteWriter overflowing_task;
  for (const std::uint64_t n : {std::uint64_t{0}, std::uint64_t{1}, ~std::uint64_t{0}})
    overflowing_task.put(n);
  ASSERT_TRUE(
      json::parse(doc, R"({"v":3,"uid":"req-1","n":0,"count":1,"base":9000000000000000000,)"
                       R"("unit":1000,"tasks":")" +
                           overflowing_task.base64() +
                           R"(","host":"","digits":0,"hosts":[],"zones":[],"reasons":[]})"));
  EXPECT_FALSE(decode(doc, out)) << "a time that would overflow";
}

MachinePage largest_page(bool with_failed_jobs) {
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
    if (with_failed_jobs)
      m.failed_job = JobId("req-" + std::string(30, 'x') + std::to_string(10 + i));
    for (int k = 0; k < 20; ++k) {
      note_image(m.images, ImageId("img-" + std::to_string(k)), 6.25 + k, 1e6);
    }
    page.machines.push_back(m);
  }
  return page;
}

TEST(CompactPage, RoundTrips) {
  MachinePage page = largest_page(true);
  page.machines.resize(4);
  page.machines[1].reclaim_at.reset();
  page.machines[2].failed_job = JobId{};
  page.machines[3].images.clear();
  for (MachineRecord& m : page.machines) {
    if (m.images.size() > 12) m.images.erase(m.images.begin(), m.images.end() - 12);
  }
  const std::string text = encode(page, {encode(page, RecordSize{}).size() - 1, true});
  const auto back = read_back<MachinePage>(text);
  EXPECT_EQ(back.machines, page.machines);
}

TEST(CompactPage, TheLargestFitsTheLoweredLimit) {
  for (const bool with_failed_jobs : {false, true}) {
    const MachinePage page = largest_page(with_failed_jobs);
    ASSERT_GT(encode(page, {kLoweredBytes, false}).size(), kLoweredBytes)
        << "the plain form does not fit even without images";
    const std::string text = encode(page, kLoweredSize);
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

TEST(Notes, AreTruncatedToTheLoweredLimit) {
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
  EXPECT_EQ(back.notes.front().text.substr(0, 2), "0 ") << "what was granted at arrival";
  EXPECT_EQ(back.notes.back().text.substr(0, 3), "15 ") << "the latest";
  EXPECT_LE(encode(ended, kLoweredBytes).size(), kLoweredBytes);
}

}  // namespace
}  // namespace marblevale
