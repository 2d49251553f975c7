#include "records/keys.hpp"

#include <charconv>

namespace marblevale::keys {

std::string node(const NodeId& node) { return "mv/nodes/" + node.get(); }
std::string shard(const ZoneId& zone) { return "mv/blocks/" + zone.get(); }
std::string job(const JobId& job_id) { return "mv/jobs/" + job_id.get(); }
std::string guarantee_record(const JobId& job_id) { return "mv/grants/" + job_id.get(); }
std::string slices_of(const JobId& job_id) { return "mv/slices/" + job_id.get() + "/"; }
std::string slice(const JobId& job_id, std::uint32_t number) {
  return slices_of(job_id) + std::to_string(number);
}
std::string machine_page(const ZoneId& zone, const MachineId& machine_id) {
  const std::string& name = machine_id.get();
  std::size_t digits_begin = name.size();
  while (digits_begin > 0 && name[digits_begin - 1] >= '0' && name[digits_begin - 1] <= '9')
    --digits_begin;
  std::uint64_t number = 0;
  const auto [end, error] =
      std::from_chars(name.data() + digits_begin, name.data() + name.size(), number);
  const bool numbered = error == std::errc{} && end == name.data() + name.size();
  return "mv/machines/" + zone.get() + "/" + name.substr(0, digits_begin) +
         (numbered ? std::to_string(number / kPageMachines) : "");
}
std::string provisioning_request(const std::string& name) { return "mv/hires/" + name; }
std::string final_job(const JobId& job_id) { return "final/" + job_id.get(); }

}  // namespace marblevale::keys
