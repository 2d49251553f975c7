// Failed starts are remembered from round to round. Skipping them must give the same schedule as
// retrying them.
#include <map>
#include <memory>
#include <random>

#include "support/planner_helpers.hpp"

namespace marblevale {
namespace {

using testing::at;
using testing::batch;
using testing::gang;
using testing::item;
using testing::machine;

std::string numbered(std::string name, std::uint64_t number) {
  name.append(std::to_string(number));
  return name;
}

WallTime first_end(const Plan& plan) {
  WallTime first = plan.end();
  for (const Placement& placement : plan.placements) first = std::min(first, placement.end);
  return first;
}

/// Simulates a small cluster whose profile is kept from round to round, as the leader does. All
/// events except the starts come from a seed, so that two simulations with equal starts see the
/// same jobs and the same ends.
class SimulatedSchedule {
 public:
  SimulatedSchedule(unsigned seed, bool remembers) : random_(seed), remembers_(remembers) {
    for (const TeamId& team : {TeamId("crew"), TeamId("other")})
      profile_.add_team(team, {500, 20, 5000});
    for (int i = 0; i < 10; ++i) {
      profile_.add_machine(machine(numbered("m", static_cast<std::uint64_t>(i)), i % 2 == 0 ? 4 : 8,
                                   i % 3 == 0 ? "a" : "b"));
    }
  }

  /// Simulates one second: ends, arrivals and a planning round. Returns the started jobs with their
  /// machines, in the order of the starts.
  std::vector<std::string> run_one_second() {
    now_ += 1;
    end_or_extend_runs();
    for (std::size_t n = draw(3); n > 0; --n) submit();
    Planner planner(std::move(profile_), queue_, reservations_,
                    remembers_ ? failed_starts_ : testing::no_failed_starts(), at(now_),
                    testing::unlimited_budget);
    planner.restore();
    planner.admit_arrivals();
    std::size_t cursor = 0;
    const auto starts = planner.compress(cursor);
    skipped_ += failed_starts_.size();
    profile_ = planner.take_profile();
    std::vector<std::string> out;
    out.reserve(starts.size());
    for (const JobStart& start : starts) out.push_back(start_job(start));
    return out;
  }
  [[nodiscard]] std::size_t skipped() const { return skipped_; }

 private:
  std::size_t draw(std::size_t below) { return random_() % below; }

  void submit() {
    const std::string id = numbered("req-", ++serial_);
    const auto seconds = static_cast<double>(5 + draw(40));
    const std::array<std::uint32_t, 4> widths{1, 2, 4, 6};
    const std::uint32_t width = widths.at(draw(widths.size()));
    JobSpec job = draw(2) == 0 ? gang(id, width, 4, seconds) : batch(id, width * 2, 1, seconds);
    job.single_zone = draw(3) == 0;
    job.team = TeamId(draw(2) == 0 ? "crew" : "other");
    if (draw(5) == 0) job.urgency = Urgency::urgent;
    jobs_.push_back(std::make_unique<JobSpec>(std::move(job)));
    queue_.push_back(item(*jobs_.back(), serial_, now_));
  }

  std::string start_job(const JobStart& start) {
    const auto entry = std::find_if(queue_.begin(), queue_.end(),
                                    [&](const auto& i) { return i.job_id == start.job_id; });
    std::string text = start.job_id.get();
    Plan running = start.plan;
    for (Placement& placement : running.placements) {
      text.append(1, ' ').append(profile_.machines()[placement.machine].machine_id.get());
      placement.start = WallTime{};
    }
    const Owner owner{++runs_ | (1ULL << 40)};
    // Tasks end before or after their estimated ends.
    const double end = now_ + 1 + static_cast<double>((runs_ * 7919) % 60);
    runs_by_owner_[owner] = {running, entry->demand.job, end};
    profile_.allocate(running, *entry->demand.job, owner);
    entry->demand.tasks -= static_cast<std::uint32_t>(start.task_indices.size());
    entry->task_indices.resize(entry->demand.tasks);
    if (entry->demand.tasks == 0) {
      reservations_.erase(start.job_id);
      queue_.erase(entry);
    }
    return text;
  }

  /// Releases the runs that have ended, and extends the estimated end of overrunning ones, as the
  /// leader does.
  void end_or_extend_runs() {
    for (auto it = runs_by_owner_.begin(); it != runs_by_owner_.end();) {
      Run& run = it->second;
      const bool ended = run.end <= now_;
      const bool overran = first_end(run.plan) <= at(now_ + 1);
      if (ended || overran) profile_.release(it->first);
      if (ended) {
        it = runs_by_owner_.erase(it);
        continue;
      }
      if (overran) {
        for (Placement& placement : run.plan.placements) {
          placement.end = std::max(placement.end, at(now_ + 6));
        }
        profile_.allocate(run.plan, *run.job, it->first);
      }
      ++it;
    }
  }

  struct Run {
    Plan plan;
    const JobSpec* job = nullptr;
    double end = 0;
  };

  std::mt19937 random_;
  bool remembers_;
  Profile profile_;
  std::vector<std::unique_ptr<JobSpec>> jobs_;
  std::vector<QueueItem> queue_;
  Reservations reservations_;
  FailedStarts failed_starts_;
  std::map<Owner, Run> runs_by_owner_;
  std::uint64_t serial_ = 0;
  std::uint64_t runs_ = 0;
  std::size_t skipped_ = 0;
  double now_ = 0;
};

class FailedStartsTest : public ::testing::TestWithParam<unsigned> {};

TEST_P(FailedStartsTest, SkippingFailedStartsEqualsRetryingThem) {
  SimulatedSchedule remembering(GetParam(), true);
  SimulatedSchedule retrying(GetParam(), false);
  for (int second = 0; second < 300; ++second) {
    ASSERT_EQ(remembering.run_one_second(), retrying.run_one_second()) << "second " << second;
  }
  EXPECT_GT(remembering.skipped(), 100U);
}

INSTANTIATE_TEST_SUITE_P(Seeds, FailedStartsTest,
                         ::testing::Values(1U, 2U, 3U, 4U, 5U, 6U, 7U, 8U));

}  // namespace
}  // namespace marblevale
