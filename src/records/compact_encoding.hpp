// The parts of the compact forms of records: numbers of variable length (varints) in base64, and
// machine names by their numbers. The compact forms are written only once the state service takes
// smaller values than a record in its plain form has.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace marblevale {

/// Appends numbers to a string of bytes as varints (LEB128): seven bits a byte, the lowest first.
class ByteWriter {
 public:
  void put(std::uint64_t number);
  /// A number that may be negative, in zigzag encoding: small ones of either sign take few bytes.
  void put_signed(std::int64_t number);
  [[nodiscard]] std::string base64() const;

 private:
  std::string bytes_;
};

/// Reads what a `ByteWriter` wrote. After an error `ok()` is false, and every later number is 0.
class ByteReader {
 public:
  explicit ByteReader(const std::string& base64);
  std::uint64_t number();
  std::int64_t signed_number();
  /// As above, for times: one that is far from any real one is an error, so that sums of them can't
  /// overflow.
  std::uint64_t time();
  std::int64_t signed_time();
  [[nodiscard]] bool ok() const { return ok_; }

 private:
  std::string bytes_;
  std::size_t position_ = 0;
  bool ok_ = true;
};

/// Machine names as numbers. Most names of a cluster are one prefix and a number; any other name is
/// kept as a text of its own.
class MachineNames {
 public:
  MachineNames() = default;
  /// As they were stored: the common prefix, its number of digits, and the other names.
  MachineNames(std::string prefix, std::uint64_t digits, std::vector<std::string> others);

  /// The number that stands for the name; 0 for an empty one. The first name sets the prefix.
  std::uint64_t number_of(const std::string& name);
  /// The name that the number stands for; nothing for one that was never given out.
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
