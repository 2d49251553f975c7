// Settings, records, reports and heartbeats: what is read back is what was written; bad input is
// refused with the field's name, and never crashes.
#include "config/settings.hpp"
#include "peers/peer_heartbeat.hpp"
#include "records/records.hpp"
#include "scheduling/scale_out.hpp"
#include "support/helpers.hpp"

namespace marblevale {
namespace {

const char* const kSettings = R"(
node = "n0"
site = "a"
serve_on = "10.0.0.1:8080"
peer_bind = "10.0.0.1:8081"
later_field = 1
[[peers]]
node = "n1"
site = "b"
peer_addr = "10.0.0.2:8081"
[endpoints]
cloud = "10.2.0.2:8443"
state = "10.2.0.1:2379"
[cluster]
count = 2
zones = ["a", "b"]
clock_error_ms = 25.0
[[cluster.teams]]
name = "t"
gpus = 8.0
gpus_max = 24.0
[[cluster.objectives]]
kind = "wait"
class = "c"
within_s = 18.0
share = 0.88
[cluster.workers]
report_s = 3.0
lease_s = 24.0
gang_wait_s = 35.0
gang_peer_s = 8.0
cancel_s = 49.0
[cluster.state]
rps = 250.0
write_rps = 100.0
value_kb = 16.0
txn_ops = 24
[cluster.cloud]
rps = 6.0
list_lag_s = 8.0
[cluster.machine_limits]
core_share = 0.04
ram_mb = 56.0
max_sockets = 700
)";

std::string error_of(const std::string& from, const std::string& to) {
  std::string text = kSettings;
  text.replace(text.find(from), from.size(), to);
  try {
    parse_settings(text);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(Settings, AreReadAndUnknownFieldsIgnored) {
  const Settings s = parse_settings(kSettings);
  EXPECT_EQ(s.node, NodeId("n0"));
  EXPECT_EQ(s.peers.at(0).address.port, 8081);
  EXPECT_EQ(s.workers.cancel, Duration{49'000});
  EXPECT_EQ(s.objectives.at(0).within, Duration{18'000});
  EXPECT_EQ(s.team(TeamId("t"))->limit().gpus, 24);
  EXPECT_GT(s.team(TeamId("t"))->limit().cpus, 1e9) << "no limit on CPUs is given";
}

TEST(Settings, AFaultNamesItsField) {
  EXPECT_NE(error_of("node = \"n0\"", "").find("node"), std::string::npos);
  EXPECT_NE(error_of("10.0.0.1:8080", "10.0.0.1").find("serve_on"), std::string::npos);
  EXPECT_NE(error_of("lease_s = 24.0", "lease_s = \"x\"").find("cluster.workers.lease_s"),
            std::string::npos);
  EXPECT_NE(error_of("rps = 250.0", "rps = -1").find("cluster.state.rps"), std::string::npos);
  EXPECT_NE(error_of("gpus = 8.0", "gpus = nan").find("cluster.teams[0].gpus"), std::string::npos);
  EXPECT_NE(error_of("cancel_s = 49.0", "cancel_s = 20.0").find("cancel_s"), std::string::npos);
  EXPECT_NE(error_of("[cluster.cloud]", "[cluster.cloud").find("line"), std::string::npos);
  EXPECT_THROW(load_settings("/nowhere/at/all.toml"), SettingsError);
}

TEST(Settings, LimitsOfTheStateServiceThatAreAnnounced) {
  EXPECT_FALSE(parse_settings(kSettings).store.next) << "absent: as today";
  const auto with = [](const std::string& table) {
    std::string text = kSettings;
    const std::string after = "txn_ops = 24\n";
    return text.insert(text.find(after) + after.size(), table);
  };
  const Settings s = parse_settings(
      with("[cluster.state.next]\nwrite_rps = 70.0\nvalue_kb = 2.0\ntxn_ops = 8\nlater = \"x\"\n"));
  ASSERT_TRUE(s.store.next);
  EXPECT_EQ(s.store.next->value_bytes, 2048U);
  EXPECT_EQ(s.store.next->txn_ops, 8U);
  EXPECT_EQ(s.store.next->write_rps, 70);
  EXPECT_EQ(s.store.next->rps, 250) << "what is not named stays";
  EXPECT_EQ(s.store.txn_ops, 24U) << "the present limits stay until then";
  const auto fault = [&](const std::string& table) -> std::string {
    try {
      parse_settings(with(table));
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_NE(fault("next = 3\n").find("cluster.state.next"), std::string::npos);
  for (const std::string key : {"rps", "write_rps", "value_kb", "txn_ops"}) {
    const std::string head = "[cluster.state.next]\n" + key;
    for (const std::string value : {" = 0\n", " = -1\n", " = \"x\"\n", " = nan\n"}) {
      EXPECT_NE(fault(head + value).find("cluster.state.next." + key), std::string::npos)
          << key << value;
    }
  }
}

template <typename Record>
Record again(const Record& record) {
  json::Document doc;
  Record out;
  EXPECT_TRUE(json::parse(doc, encode(record)));
  EXPECT_TRUE(decode(doc, out));
  return out;
}

MachineRecord again(const MachineRecord& machine) {
  json::Document doc;
  MachinePage out;
  EXPECT_TRUE(json::parse(doc, encode(MachinePage{{machine}}, RecordSize{})));
  EXPECT_TRUE(decode(doc, out));
  return out.machines.empty() ? MachineRecord{} : out.machines.front();
}

TEST(Records, ComeBackAsTheyWereWritten) {
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
  t.running = from_unix_milliseconds(6);
  t.progress = Duration{7};
  t.faults = 1;
  t.stop = StopOrder{Duration{9}, "why"};
  const SliceRecord back = again(slice);
  EXPECT_EQ(back.number, 3U);
  const TaskRecord& b = back.tasks.at(1);
  EXPECT_EQ(b.state, t.state);
  EXPECT_EQ(b.attempt, t.attempt);
  EXPECT_EQ(b.machine_id, t.machine_id);
  EXPECT_EQ(b.epoch, t.epoch);
  EXPECT_EQ(b.running, t.running);
  EXPECT_EQ(b.progress, t.progress);
  EXPECT_EQ(b.faults, t.faults);
  ASSERT_TRUE(b.stop);
  EXPECT_EQ(b.stop->reason, "why");

  JobRecord job;
  job.spec = testing::gang("req-1", 3, 2, 50);
  job.spec.deadline = Duration{90'000};
  job.spec.machine_types = {"g8"};
  job.accepted = from_unix_milliseconds(11);
  job.cancelled = WallTime{Duration{12}};
  const JobRecord job_back = again(job);
  EXPECT_EQ(job_back.spec.task_count, 3U);
  EXPECT_EQ(job_back.spec.deadline, job.spec.deadline);
  EXPECT_EQ(job_back.cancelled, job.cancelled);

  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.zone = ZoneId("a");
  machine.state = MachineState::suspect;
  machine.blamed = JobId("req-1");
  EXPECT_EQ(again(machine).blamed, machine.blamed);
  EXPECT_EQ(again(machine).state, machine.state);
}

TEST(Records, ASliceFitsTheSmallestValue) {
  SliceRecord slice;
  slice.job_id = JobId("req-" + std::string(32, 'x'));
  slice.tasks.resize(kSliceTasks);
  for (TaskRecord& t : slice.tasks) {
    t.state = TaskState::bound;
    t.attempt = Attempt(1000);
    t.zone = ZoneId("laurentides");
    t.machine_id = t.failed_on = MachineId("vm-000231");
    t.epoch = WorkerEpoch(1000);
    t.since = t.running = from_unix_milliseconds(1'800'000'000'000);
    t.progress = Duration{1'000'000};
    t.faults = 100;
    t.stop = StopOrder{Duration{100'000}, "displaced for req-000412 (guarantee)"};
  }
  EXPECT_LE(encode(slice).size(), 8192U);
}

TEST(Records, APageOfMachinesFitsTheSmallestValue) {
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
    m.blamed = JobId("req-" + std::string(20, 'x'));
    for (int k = 0; k < 20; ++k) note_image(m.images, ImageId("img-" + std::to_string(k)), 6, 150);
    page.machines.push_back(m);
  }
  EXPECT_LE(encode(page, RecordSize{}).size(), 8192U);
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("vm-000023")), "mv/machines/a/vm-0");
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("vm-000024")), "mv/machines/a/vm-1");
  EXPECT_EQ(keys::machine_page(ZoneId("a"), MachineId("odd")), "mv/machines/a/odd");
}

TEST(Images, TheLatestWithinTheCacheAreKept) {
  MachineRecord machine;
  machine.machine_id = MachineId("vm-1");
  machine.zone = ZoneId("a");
  EXPECT_TRUE(note_image(machine.images, ImageId("a"), 6, 15));
  EXPECT_TRUE(note_image(machine.images, ImageId("b"), 6, 15));
  EXPECT_FALSE(note_image(machine.images, ImageId("a"), 6, 15));  // used again: now the latest
  EXPECT_TRUE(note_image(machine.images, ImageId("c"), 6, 15));   // b gives way
  const MachineRecord back = again(machine);
  ASSERT_EQ(back.images.size(), 2U);
  EXPECT_EQ(back.images[0].image, ImageId("a"));
  EXPECT_EQ(back.images[1].image, ImageId("c"));
}

TEST(Records, AnotherFormatIsNotGuessedAt) {
  json::Document doc;
  ASSERT_TRUE(json::parse(doc, R"({"v":2,"node":"n","nonce":1})"));
  LeaderRecord leader;
  EXPECT_FALSE(decode(doc, leader));
  SliceRecord slice;
  ASSERT_TRUE(json::parse(doc, R"({"v":1,"uid":"req-1","n":0,"tasks":[{"s":9}]})"));
  EXPECT_FALSE(decode(doc, slice));
}

TEST(Grants, KeepTheFirstNoteAndTheLatest) {
  GuaranteeRecord guarantee_record;
  for (int i = 0; i < 50; ++i) guarantee_record.note(from_unix_milliseconds(i), std::to_string(i));
  EXPECT_LE(guarantee_record.notes.size(), 16U);
  EXPECT_EQ(guarantee_record.notes.front().what, "0");
  EXPECT_EQ(guarantee_record.notes.back().what, "49");
}

TEST(WorkerHeartbeats, MustBeWhole) {
  const std::string good =
      R"({"host":"vm-1","address":"x:1","build":"g","district":"a","loaners":true,"tenure":1,
          "tally":2,"warrant":3,"recall_s":7.5,
          "parts":[{"part":"req-1/3","try":2,"status":"ended","cause":"halted","saved":true}]})";
  const auto heartbeat = parse_worker_heartbeat(good);
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->reclaim_in, Duration{7500});
  EXPECT_EQ(heartbeat->tasks.at(0).id.task_index, 3U);
  EXPECT_TRUE(heartbeat->tasks.at(0).saved);
  for (std::size_t cut = 0; cut < good.size(); cut += 7) {
    EXPECT_FALSE(parse_worker_heartbeat(good.substr(0, cut)));
  }
  EXPECT_FALSE(parse_task_id("req-1"));
  EXPECT_FALSE(parse_task_id("req-1/x"));
  EXPECT_FALSE(parse_task_id("req-1/99999999999"));
}

TEST(PeerHeartbeatExchange, AControllerThatIsCutOffSendsUsersElsewhere) {
  EXPECT_FALSE(should_serve_users(false, true, PeerStoreEvidence::store_reachable))
      << "it has not loaded the records";
  EXPECT_TRUE(should_serve_users(true, true, PeerStoreEvidence::no_recent_heartbeat));
  EXPECT_FALSE(should_serve_users(true, false, PeerStoreEvidence::store_reachable))
      << "it alone lacks the state service";
  EXPECT_FALSE(should_serve_users(true, false, PeerStoreEvidence::no_recent_heartbeat))
      << "it lacks its peers as well";
  EXPECT_TRUE(should_serve_users(true, false, PeerStoreEvidence::store_unreachable))
      << "all lack it";
  EXPECT_TRUE(should_serve_users(true, false, PeerStoreEvidence::no_peers));
}

TEST(PeerHeartbeatExchange, ALateCopyIsNoNews) {
  PeerHeartbeatDeduplicator deduplicator;
  PeerHeartbeat heartbeat;
  heartbeat.node = "n1";
  heartbeat.incarnation = 7;
  heartbeat.sequence = 5;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest);
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::duplicate_or_late)
      << "the same again";
  heartbeat.sequence = 4;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::duplicate_or_late)
      << "sent before it";
  heartbeat.sequence = 6;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest);
  heartbeat.incarnation = 8;
  heartbeat.sequence = 1;
  EXPECT_EQ(deduplicator.classify(heartbeat), PeerHeartbeatDelivery::latest)
      << "another life counts anew";
}

TEST(PeerHeartbeatExchange, SurviveCutAndTwistedBytes) {
  PeerHeartbeat heartbeat;
  heartbeat.node = "n1";
  heartbeat.misrouted_zones = {"a", "b"};
  heartbeat.cancellations.items = {{"req-1", 17}};
  const std::string bytes = encode(heartbeat);
  ASSERT_TRUE(decode_peer_heartbeat(bytes));
  EXPECT_EQ(decode_peer_heartbeat(bytes)->misrouted_zones.size(), 2U);
  EXPECT_EQ(decode_peer_heartbeat(bytes)->cancellations.items.at(0).cancelled_at_ms, 17);
  for (std::size_t cut = 0; cut < bytes.size(); ++cut) {
    EXPECT_FALSE(decode_peer_heartbeat(bytes.substr(0, cut)));
  }
  heartbeat.format += 1;
  EXPECT_FALSE(decode_peer_heartbeat(encode(heartbeat))) << "of another version";
}

TEST(ScaleOut, RentsTheCheapestKindThatSavesWaiting) {
  MachineType type;
  type.name = "g8";
  type.resources = {96, 8, 768};
  type.price = 10;
  type.spot_price = 4;
  type.boot = Duration{30'000};
  type.zones = {ZoneId("a"), ZoneId("b")};
  JobSpec job = testing::batch("req-1", 12, 1, 60);
  job.allows_spot = true;
  const auto any = [](const MachineOffering&) { return true; };
  const std::map<TeamId, Resources> rich{{TeamId("crew"), {1e9, 100, 1e9}}};
  const auto provisioned =
      plan_scale_out({{&job, 12, job.estimated_run, Duration{100'000}, std::nullopt}}, {type}, any,
                     {{ZoneId("a"), 3}}, rich);
  std::uint32_t count = 0;
  for (const auto& [offer, n] : provisioned) {
    EXPECT_TRUE(offer.spot);
    count += n;
  }
  EXPECT_EQ(count, 2U);
  EXPECT_TRUE(plan_scale_out({{&job, 12, job.estimated_run, Duration{20'000}, std::nullopt}},
                             {type}, any, {}, rich)
                  .empty())
      << "it would start before a machine is up";
  const std::map<TeamId, Resources> poor{{TeamId("crew"), {1e9, 0, 1e9}}};
  EXPECT_TRUE(plan_scale_out({{&job, 12, job.estimated_run, Duration{100'000}, std::nullopt}},
                             {type}, any, {}, poor)
                  .empty())
      << "the team's limit forbids it";
}

}  // namespace
}  // namespace marblevale
