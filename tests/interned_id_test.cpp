// Ids with a shared text: equality, order, hash, and the release of texts.
#include "core/interned_id.hpp"

#include <gtest/gtest.h>

#include <map>
#include <utility>
#include <vector>

#include "core/ids.hpp"

namespace marblevale {
namespace {

TEST(InternedId, ComparesAndHashesLikeItsText) {
  const MachineId a("vm-1");
  const MachineId same(std::string("vm-") + "1");
  const MachineId b("vm-2");
  EXPECT_EQ(a, same);
  EXPECT_NE(a, b);
  EXPECT_LT(a, b);
  EXPECT_LT(MachineId{}, a);
  EXPECT_EQ(MachineId{}, MachineId(""));
  EXPECT_EQ(MachineId{}.get(), "");
  EXPECT_EQ(std::hash<MachineId>{}(a), std::hash<std::string>{}("vm-1"));
  EXPECT_EQ(std::hash<MachineId>{}(MachineId{}), std::hash<std::string>{}(""));
}

TEST(InternedId, StoresATextOnceAndFreesItWithItsLastId) {
  const std::size_t before = InternedText::stored_texts();
  {
    MachineId first("interned-1");
    MachineId copy = first;
    EXPECT_EQ(&copy.get(), &first.get());
    EXPECT_EQ(InternedText::stored_texts(), before + 1);
    first = MachineId("interned-2");
    EXPECT_EQ(copy.get(), "interned-1");
    EXPECT_EQ(InternedText::stored_texts(), before + 2);
    copy = std::move(first);
    EXPECT_EQ(copy.get(), "interned-2");
    EXPECT_EQ(InternedText::stored_texts(), before + 1);
    copy = *&copy;
    EXPECT_EQ(copy.get(), "interned-2") << "after it is assigned to itself";
  }
  EXPECT_EQ(InternedText::stored_texts(), before);
}

TEST(InternedId, KeepsTheOrderOfTextsInMaps) {
  std::map<JobId, int> by_job;
  for (const char* job : {"req-9", "req-10", "req-1"}) by_job[JobId(job)] = 1;
  std::vector<std::string> order;
  order.reserve(by_job.size());
  for (const auto& [job, value] : by_job) order.push_back(job.get());
  EXPECT_EQ(order, (std::vector<std::string>{"req-1", "req-10", "req-9"}));
}

}  // namespace
}  // namespace marblevale
