// What workers say (POST /hello, and the answers of /orders) and what they are told.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/strong.hpp"
#include "core/time.hpp"

namespace marblevale {

struct TaskId {
  Uid uid;
  std::uint32_t part = 0;
  auto operator<=>(const TaskId&) const = default;
  [[nodiscard]] std::string str() const { return uid.get() + "/" + std::to_string(part); }
};

std::optional<TaskId> parse_task_id(std::string_view text);

enum class TaskStatus { fetching, gathering, running, flushing, ended };

struct ReportedTask {
  TaskId id;
  Attempt attempt;
  TaskStatus status = TaskStatus::fetching;
  std::string cause;  // of an ended task
  bool saved = false;
};

struct Report {
  HostId host;
  std::string address;
  std::string build;
  ZoneId district;
  bool loaners = false;
  Tenure tenure;
  Tally tally;
  Warrant warrant;
  std::optional<Span> recall;
  std::vector<ReportedTask> parts;
};

std::optional<Report> parse_report(std::string_view body);

enum class Verb { start, kill, clear };

struct Order {
  Verb verb = Verb::start;
  TaskId id;
  Attempt attempt;
  Span leeway;  // of a kill
};

/// The answer to a report.
std::string write_answer(Warrant warrant, const std::vector<Order>& orders);
/// The body of POST /orders.
std::string write_direct(Warrant warrant, Tenure tenure, const std::vector<Order>& orders);

}  // namespace marblevale

template <>
struct std::hash<marblevale::TaskId> {
  std::size_t operator()(const marblevale::TaskId& id) const noexcept {
    return std::hash<marblevale::Uid>{}(id.uid) * 31 + id.part;
  }
};
