// Parsing of a request path into a job and an action.
#include "app/user_router.hpp"

#include <gtest/gtest.h>

namespace marblevale {
namespace {

TEST(UserRouter, APathNamesAJobAndAnAction) {
  const auto job = parse_job_path("/api/jobs/req-1");
  ASSERT_TRUE(job);
  EXPECT_EQ(job->job_id, "req-1");
  EXPECT_FALSE(job->action);
  const auto cancellation = parse_job_path("/api/jobs/req-1/abort");
  ASSERT_TRUE(cancellation);
  EXPECT_EQ(cancellation->job_id, "req-1");
  EXPECT_EQ(cancellation->action, "abort");
}

TEST(UserRouter, TextAfterTheSecondSlashIsTheAction) {
  EXPECT_EQ(parse_job_path("/api/jobs/req-1/")->action, "") << "not the job itself";
  EXPECT_EQ(parse_job_path("/api/jobs/req-1/why/more")->action, "why/more");
  EXPECT_EQ(parse_job_path("/api/jobs//why")->job_id, "");
}

TEST(UserRouter, OtherPathsNameNoJob) {
  for (const char* path : {"", "/", "/up", "/api/jobs", "/api/jobs/", "/api/jobsreq-1", "/api/job",
                           "/v2/api/jobs/req-1"}) {
    EXPECT_FALSE(parse_job_path(path)) << path;
  }
}

}  // namespace
}  // namespace marblevale
