// Where a server of the deployment listens.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace marblevale {

struct Address {
  std::string host;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

}  // namespace marblevale
