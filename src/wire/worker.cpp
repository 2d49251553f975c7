#include "wire/worker.hpp"

#include <charconv>

#include "wire/job_spec.hpp"
#include "wire/json.hpp"

namespace marblevale {

namespace {

std::optional<TaskStatus> status_of(const std::string& name) {
  if (name == "fetching") return TaskStatus::fetching;
  if (name == "gathering") return TaskStatus::gathering;
  if (name == "running") return TaskStatus::running;
  if (name == "flushing") return TaskStatus::flushing;
  if (name == "ended") return TaskStatus::ended;
  return std::nullopt;
}

std::optional<ReportedTask> parse_task(const json::Value& item) {
  const auto part = json::text(item, "part");
  const auto attempt = json::count(item, "try");
  const auto status = json::text(item, "status");
  if (!part || !attempt || !status) return std::nullopt;
  const auto id = parse_task_id(*part);
  const auto state = status_of(*status);
  if (!id || !state) return std::nullopt;
  ReportedTask task{*id, Attempt(*attempt), *state, {}, false};
  task.cause = json::text(item, "cause").value_or("");
  task.saved = json::flag(item, "saved").value_or(false);
  return task;
}

const char* name_of(Verb verb) {
  switch (verb) {
    case Verb::start:
      return "start";
    case Verb::kill:
      return "kill";
    case Verb::clear:
      return "clear";
  }
  return "";
}

void write_orders(json::Writer& out, const std::vector<Order>& orders) {
  out.key("orders").open_list();
  for (const Order& order : orders) {
    out.open()
        .put("verb", name_of(order.verb))
        .put("part", order.id.str())
        .put("try", order.attempt.get());
    if (order.verb == Verb::kill) out.put("leeway_s", order.leeway.seconds());
    out.close();
  }
  out.close_list();
}

}  // namespace

std::optional<TaskId> parse_task_id(std::string_view text) {
  const auto slash = text.find('/');
  if (slash == std::string_view::npos || !valid_uid(text.substr(0, slash))) return std::nullopt;
  TaskId id{Uid(std::string(text.substr(0, slash))), 0};
  const auto digits = text.substr(slash + 1);
  const auto [end, fault] = std::from_chars(digits.data(), digits.data() + digits.size(), id.part);
  if (fault != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return id;
}

std::optional<Report> parse_report(std::string_view body) {
  json::Document doc;
  if (!json::parse(doc, body)) return std::nullopt;
  const auto host = json::text(doc, "host");
  const auto address = json::text(doc, "address");
  const auto build = json::text(doc, "build");
  const auto district = json::text(doc, "district");
  const auto tenure = json::count(doc, "tenure");
  const auto tally = json::count(doc, "tally");
  const auto warrant = json::count(doc, "warrant");
  const json::Value* parts = json::list(doc, "parts");
  if (!host || host->empty() || !address || !build || !district || !tenure || !tally || !warrant ||
      parts == nullptr) {
    return std::nullopt;
  }
  Report report;
  report.host = HostId(*host);
  report.address = *address;
  report.build = *build;
  report.district = ZoneId(*district);
  report.loaners = json::flag(doc, "loaners").value_or(false);
  report.tenure = Tenure(*tenure);
  report.tally = Tally(*tally);
  report.warrant = Warrant(*warrant);
  if (const auto recall = json::number(doc, "recall_s")) report.recall = from_seconds(*recall);
  report.parts.reserve(parts->Size());
  for (const auto& item : parts->GetArray()) {
    auto task = parse_task(item);
    // A report that can't be read whole must not count as proof that a task is absent.
    if (!task) return std::nullopt;
    report.parts.push_back(std::move(*task));
  }
  return report;
}

std::string write_answer(Warrant warrant, const std::vector<Order>& orders) {
  json::Writer out;
  out.open().put("warrant", warrant.get());
  write_orders(out, orders);
  out.close();
  return out.str();
}

std::string write_direct(Warrant warrant, Tenure tenure, const std::vector<Order>& orders) {
  json::Writer out;
  out.open().put("warrant", warrant.get()).put("tenure", tenure.get());
  write_orders(out, orders);
  out.close();
  return out.str();
}

}  // namespace marblevale
