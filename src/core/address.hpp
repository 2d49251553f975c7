// The network address of a server.
#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace marblevale {

/// A host, by name or IP address, and a TCP port.
struct Address {
  std::string host;
  std::uint16_t port = 0;
  auto operator<=>(const Address&) const = default;
};

}  // namespace marblevale
