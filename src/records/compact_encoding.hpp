// Building blocks of the compact forms of records: variable-length integers (varints) in base64,
// and machine names replaced by numbers. A record is written in its compact form only when its
// plain form exceeds the value limit of the state service.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblevale {

/// Appends integers to a byte string as varints (LEB128): seven bits per byte, the lowest first.
class ByteWriter {
 public:
  void put(std::uint64_t number);
  /// Appends a signed integer in zigzag encoding, so that small values of either sign take few
  /// bytes.
  void put_signed(std::int64_t number);
  [[nodiscard]] std::string base64() const;

 private:
  std::string bytes_;
};

/// Reads the numbers that a `ByteWriter` wrote. After an error, `ok()` is false and every later
/// read returns 0.
class ByteReader {
 public:
  explicit ByteReader(const std::string& base64);
  std::uint64_t number();
  std::int64_t signed_number();
  /// Reads a number of time units. A number far beyond any real time is an error, so that sums of
  /// times can't overflow.
  std::uint64_t time();
  /// Reads a signed number of time units, with the same check as `time()`.
  std::int64_t signed_time();
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  std::string bytes_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

/// Maps machine names to numbers. Most names in a cluster consist of one common prefix and a number
/// of fixed width. Any other name is stored as text.
class MachineNames {
 public:
  MachineNames() = default;
  /// Restores the mapping from its stored parts: the common prefix, the number of digits after the
  /// prefix, and the other names.
  MachineNames(std::string prefix, std::uint64_t digits, std::vector<std::string> others);

  /// Returns the number that stands for `name`, and 0 for an empty name. The first name that ends
  /// in digits sets the prefix; a name that does not fit the prefix is added to the other names.
  std::uint64_t number_of(const std::string& name);
  /// Returns the name that `number` stands for, or nullopt if the number refers to a prefix or a
  /// text that is not stored.
  [[nodiscard]] std::optional<std::string> name_of(std::uint64_t number) const;

  [[nodiscard]] const std::string& prefix() const { return prefix_; }
  [[nodiscard]] std::uint64_t digits() const { return digits_; }
  [[nodiscard]] const std::vector<std::string>& others() const { return others_; }

 private:
  [[nodiscard]] std::string numbered_name(std::uint64_t number) const;

  std::string prefix_;
  std::uint64_t digits_ = 0;  // 0: no prefix is set
  std::vector<std::string> others_;
};

}  // namespace marblevale
