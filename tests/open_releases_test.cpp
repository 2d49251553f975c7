// The states of an open release: which answers and records settle it, and which do not.
#include <gtest/gtest.h>

#include "leader/quota_waits.hpp"
#include "leader/team_quota_usage.hpp"
#include "support/helpers.hpp"
#include "support/scripted_store.hpp"

namespace marblevale {
namespace {

using testing::FakeTime;
using testing::ScriptedStore;
using State = OpenReleases::State;

class OpenReleasesTest : public ::testing::Test {
 protected:
  OpenReleasesTest() {
    cache_.begin();
    store_.put(keys::job(kJob), encode(JobRecord{testing::gang("req-1", 2, 1, 60), {}, {}}));
    update_cache();
    releases_.begin_term(ModRevision(1));
  }

  void update_cache() {
    store_.deliver_watch_events();
    time_.advance(Duration{100});
  }

  /// A request that releases both tasks of the job's first slice.
  [[nodiscard]] SliceChangeRequest request() const {
    SliceRecord slice;
    slice.job_id = kJob;
    slice.tasks.resize(2);
    for (TaskRecord& task : slice.tasks) {
      task.state = TaskState::released;
      task.machine_id = MachineId("vm-1");
    }
    SliceChangeRequest out;
    out.guards = {{keys::job(kJob), cache_.records().jobs.at(kJob).mod_revision}};
    out.slices = {slice};
    return out;
  }

  ReleaseId add_sent() {
    const ReleaseId id = releases_.add(request(), cache_.records());
    releases_.mark_sent(id, RecordSize{});
    return id;
  }
  ReleaseId add_offered() {
    return releases_.add_offer(request(), cache_.records(), NodeId("n1"), time_.steady());
  }

  void answer(ReleaseId id, Outcome outcome, Revision revision = {}) {
    releases_.on_commit_answer(id, {outcome, revision, {}}, time_.steady());
  }

  /// True when the release is still open after this time without new records.
  bool open_after(Duration duration) {
    time_.advance(duration);
    releases_.settle(cache_, time_.steady());
    return releases_.contains(kKey);
  }

  inline static const JobId kJob{"req-1"};
  inline static const SliceKey kKey{kJob, 0};

  FakeTime time_;
  Loop loop_{&time_};
  ScriptedStore store_;
  WatchCache cache_{loop_, time_, store_, 1};
  OpenReleases releases_;
};

TEST_F(OpenReleasesTest, IsResolvedWhenAllItsCommitsWereRefused) {
  answer(add_sent(), Outcome::refused);
  EXPECT_TRUE(open_after(Duration{100})) << "it rests for a while";
  EXPECT_FALSE(open_after(Duration{500}));
}

TEST_F(OpenReleasesTest, StaysOpenWhenOnlyTheRetryIsRefused) {
  const ReleaseId id = add_sent();
  answer(id, Outcome::unknown);
  for (int i = 0; i < 20; ++i) {
    time_.advance(Duration{5'000});
    ASSERT_EQ(releases_.retry_due(time_.steady()), std::vector<ReleaseId>{id})
        << "it is sent again";
    releases_.mark_sent(id, RecordSize{});
    answer(id, Outcome::refused);
    ASSERT_TRUE(open_after(Duration{0}));
    EXPECT_EQ(releases_.state(kKey), State::unknown);
  }
  EXPECT_EQ(releases_.slice(kKey)->tasks.at(0).state, TaskState::released) << "and it counts";
}

TEST_F(OpenReleasesTest, RefusedRetriesBackOff) {
  const ReleaseId id = add_sent();
  answer(id, Outcome::unknown);
  std::vector<std::int64_t> pauses;
  for (int i = 0; i < 6; ++i) {
    releases_.mark_sent(id, RecordSize{});
    answer(id, Outcome::refused);
    const SteadyTime begin = time_.steady();
    while (releases_.retry_due(time_.steady()).empty()) time_.advance(Duration{100});
    pauses.push_back((time_.steady() - begin).count());
  }
  EXPECT_EQ(pauses, (std::vector<std::int64_t>{400, 800, 1'600, 3'200, 3'200, 3'200}));
}

TEST_F(OpenReleasesTest, AConflictResolvesItOnceTheCacheHasItsRevision) {
  const ReleaseId id = add_sent();
  answer(id, Outcome::conflict, Revision(cache_.revision().get() + 1));
  EXPECT_TRUE(open_after(Duration{60'000})) << "what made a guard fail is not in the records yet";
  store_.put("mv/grants/req-9",
             encode(GuaranteeRecord{JobId("req-9"), {}, {}}, testing::kValueBytes));
  update_cache();
  EXPECT_FALSE(open_after(Duration{0}));
}

TEST_F(OpenReleasesTest, ANewRevisionOfTheSliceResolvesIt) {
  answer(add_sent(), Outcome::unknown);
  store_.put(keys::slice(kJob, 0), encode(request().slices[0]));
  update_cache();
  EXPECT_FALSE(open_after(Duration{0}));
}

TEST_F(OpenReleasesTest, ANewRevisionOfTheJobOrItsEndResolvesIt) {
  answer(add_sent(), Outcome::unknown);
  store_.put(keys::job(kJob), encode(JobRecord{testing::gang("req-1", 2, 1, 60), {}, {}}));
  update_cache();
  EXPECT_FALSE(open_after(Duration{0}));
  answer(add_sent(), Outcome::unknown);
  store_.remove(keys::job(kJob));
  update_cache();
  EXPECT_FALSE(open_after(Duration{0}));
}

// During a page-by-page reload the cache may contain one slice of a transaction and lack the other.
TEST_F(OpenReleasesTest, NothingIsResolvedWhileTheCacheReloads) {
  const ReleaseId id = add_sent();
  answer(id, Outcome::conflict, Revision(1));
  // A new cache loads all records, as a cache does after its watch has fallen behind.
  ScriptedStore unreachable;
  unreachable.failing_ranges = 1'000;
  WatchCache loading(loop_, time_, unreachable, 1);
  loading.begin();
  releases_.settle(loading, time_.steady());
  EXPECT_TRUE(releases_.contains(kKey));
  releases_.settle(cache_, time_.steady());
  EXPECT_FALSE(releases_.contains(kKey));
}

TEST_F(OpenReleasesTest, OnlyANewTermDropsIt) {
  const ReleaseId id = add_sent();
  releases_.begin_term(ModRevision(1));
  EXPECT_TRUE(releases_.contains(kKey)) << "the same term goes on";
  releases_.begin_term(ModRevision(2));
  EXPECT_FALSE(releases_.contains(kKey));
  const ReleaseId next = add_sent();
  EXPECT_NE(next, id);
  answer(id, Outcome::refused);
  EXPECT_TRUE(open_after(Duration{1'000})) << "the answer names a release of the earlier term";
}

TEST_F(OpenReleasesTest, AnOfferThatIsNotBoundInTimeIsCommitted) {
  const ReleaseId id = add_offered();
  EXPECT_TRUE(open_after(Duration{3'000}));
  EXPECT_TRUE(releases_.retry_due(time_.steady()).empty());
  EXPECT_TRUE(open_after(Duration{600}));
  ASSERT_EQ(releases_.retry_due(time_.steady()), std::vector<ReleaseId>{id});
  releases_.mark_sent(id, RecordSize{});
  answer(id, Outcome::refused);
  EXPECT_TRUE(open_after(Duration{60'000})) << "the holder may still bind it";
}

TEST_F(OpenReleasesTest, ADeclineResolvesAnOfferUnlessACommitFollowedIt) {
  releases_.on_offer_declined(add_offered(), time_.steady());
  EXPECT_FALSE(open_after(Duration{500}));
  const ReleaseId id = add_offered();
  releases_.mark_sent(id, RecordSize{});
  releases_.on_offer_declined(id, time_.steady());
  EXPECT_TRUE(open_after(Duration{60'000})) << "the commit decides by its own answer";
  answer(id, Outcome::refused);
  EXPECT_FALSE(open_after(Duration{500}));
}

class WideChangeTest : public OpenReleasesTest {
 protected:
  static constexpr std::uint32_t kSlices = 100;
  static constexpr std::size_t kOperations = 5;

  ReleaseId add_wide() {
    SliceChangeRequest wide = request();
    const SliceRecord first = wide.slices.front();
    for (std::uint32_t n = 1; n < kSlices; ++n) {
      wide.slices.push_back(first);
      wide.slices.back().number = n;
    }
    return releases_.add(std::move(wide), cache_.records());
  }
  std::vector<OpenReleases::Step> send_all(ReleaseId id) {
    std::vector<OpenReleases::Step> steps;
    while (releases_.contains(SliceKey{kJob, kSlices - 1}) &&
           releases_.state({kJob, kSlices - 1}) == State::waiting) {
      auto step = releases_.send_next_step(id, RecordSize{}, kOperations);
      if (!step) break;
      steps.push_back(std::move(*step));
    }
    return steps;
  }
};

TEST_F(WideChangeTest, FewStepsAreUnansweredAndAllSlicesCount) {
  const ReleaseId id = add_wide();
  const auto steps = send_all(id);
  EXPECT_EQ(steps.size(), releases_.counts().unanswered_steps);
  EXPECT_LT(steps.size() * kOperations, kSlices / 2);
  EXPECT_EQ(releases_.counts().slices, kSlices);
  for (std::uint32_t n = 0; n < kSlices; ++n) {
    ASSERT_NE(releases_.slice({kJob, n}), nullptr);
    EXPECT_EQ(releases_.slice({kJob, n})->number, n);
  }
  for (const auto& step : steps) {
    EXPECT_LE(step.txn.puts.size(), kOperations);
    EXPECT_EQ(step.txn.guards.front().key, keys::job(kJob)) << "each step keeps the job's guard";
    EXPECT_EQ(step.txn.guards.size(), step.txn.puts.size() + 1);
  }
}

TEST_F(WideChangeTest, AnAnswerLetsTheNextStepGo) {
  const ReleaseId id = add_wide();
  const auto steps = send_all(id);
  ASSERT_FALSE(releases_.send_next_step(id, RecordSize{}, kOperations));
  releases_.on_commit_answer(steps[0].id, {Outcome::done, Revision(5), {}}, time_.steady());
  const auto next = releases_.send_next_step(id, RecordSize{}, kOperations);
  ASSERT_TRUE(next);
  EXPECT_EQ(next->txn.puts.front().key,
            keys::slice(kJob, static_cast<std::uint32_t>(steps.size() * kOperations)));
}

TEST_F(WideChangeTest, RefusedStepsAreSentAgainBeforeFurtherOnes) {
  const ReleaseId id = add_wide();
  const auto steps = send_all(id);
  for (const auto& step : steps) answer(step.id, Outcome::refused);
  EXPECT_TRUE(send_all(id).empty());
  time_.advance(Duration{1'000});
  EXPECT_EQ(releases_.retry_due(time_.steady()).size(), steps.size());
}

TEST_F(WideChangeTest, DoesNotDelayAChangeOfOneTransaction) {
  const ReleaseId wide = add_wide();
  send_all(wide);
  SliceChangeRequest small = request();
  small.slices.front().job_id = JobId("req-2");
  const ReleaseId id = releases_.add(std::move(small), cache_.records());
  const auto step = releases_.send_next_step(id, RecordSize{}, kOperations);
  ASSERT_TRUE(step);
  EXPECT_EQ(step->id, id);
}

TEST_F(WideChangeTest, ANewRevisionOfTheJobEndsTheStepsThatWait) {
  const ReleaseId id = add_wide();
  const auto steps = send_all(id);
  store_.put(keys::job(kJob),
             encode(JobRecord{testing::gang("req-1", 2, 1, 60), {}, time_.wall()}));
  update_cache();
  releases_.settle(cache_, time_.steady());
  EXPECT_EQ(releases_.counts().slices, 0U);
  EXPECT_TRUE(releases_.waiting().empty());
}

class TeamUsageTest : public OpenReleasesTest {
 protected:
  double gpus() {
    usage_.sync(cache_.records(), releases_);
    return usage_.used_by(TeamId("crew")).gpus;
  }
  /// Stores the slice with each task bound or idle as `placed` says.
  void store_slice(std::vector<bool> placed) {
    SliceRecord slice = request().slices[0];
    for (std::size_t i = 0; i < placed.size(); ++i) {
      slice.tasks.at(i).state = placed[i] ? TaskState::bound : TaskState::idle;
    }
    store_.put(keys::slice(kJob, 0), encode(slice));
    update_cache();
    usage_.mark_dirty(kKey);
  }

  TeamQuotaUsage usage_;
};

TEST_F(TeamUsageTest, CountsRecordsAndOpenReleases) {
  EXPECT_EQ(gpus(), 0);
  answer(add_sent(), Outcome::unknown);
  usage_.mark_dirty(kKey);
  EXPECT_EQ(gpus(), 2);
  store_slice({true, false});
  EXPECT_EQ(gpus(), 2) << "until it is settled a task counts if any version has it placed";
  releases_.settle(cache_, time_.steady());
  usage_.mark_dirty(kKey);
  EXPECT_EQ(gpus(), 1);
  store_slice({false, false});
  EXPECT_EQ(gpus(), 0);
}

TEST_F(TeamUsageTest, AnUndecodableSliceCountsInFull) {
  store_.put(keys::slice(kJob, 0), R"({"v":99})");
  update_cache();
  usage_.mark_dirty(kKey);
  EXPECT_EQ(gpus(), 2);
}

TEST_F(TeamUsageTest, AnUndecodableJobMakesTheCountIncomplete) {
  store_slice({true, true});
  store_.put(keys::job(kJob), R"({"v":99})");
  update_cache();
  usage_.mark_dirty(kKey);
  gpus();
  EXPECT_TRUE(usage_.incomplete());
  store_.remove(keys::job(kJob));
  update_cache();
  usage_.mark_dirty(kKey);
  EXPECT_EQ(gpus(), 0);
  EXPECT_FALSE(usage_.incomplete()) << "it is over";
}

TEST_F(TeamUsageTest, JobsThatWaitForAnOpenReleaseAreFound) {
  Settings settings;
  Team team;
  team.name = TeamId("crew");
  team.max_gpus = 2;
  settings.teams = {team};
  const JobSpec fits_without = testing::gang("req-2", 1, 2, 60);
  const JobSpec too_large = testing::gang("req-3", 1, 3, 60);
  const std::vector<QueueItem> queue{testing::item(fits_without, 2), testing::item(too_large, 3)};
  answer(add_sent(), Outcome::unknown);
  usage_.mark_dirty(kKey);
  gpus();
  time_.advance(Duration{5'000});
  const auto unsettled_slices = releases_.unsettled_for(Duration{5'000}, time_.steady());
  const auto waits =
      find_quota_waits(queue, settings, cache_.records(), usage_, unsettled_slices, 10);
  ASSERT_EQ(waits.size(), 1U);
  EXPECT_EQ(waits[0].job_id, JobId("req-2"));
  EXPECT_EQ(waits[0].unsettled_job_id, kJob);
  EXPECT_TRUE(find_quota_waits(queue, settings, cache_.records(), usage_, {}, 10).empty());
}

}  // namespace
}  // namespace marblevale
