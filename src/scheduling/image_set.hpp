/// The images that a machine holds, in a compact form, because placement queries it for every
/// machine of a cluster many times a second.
#pragma once

#include <algorithm>
#include <cstdint>
#include <vector>

#include "core/ids.hpp"

namespace marblevale {

/// Hash of an image id. A collision of two images only makes an estimated fetch time wrong.
using ImageKey = StrongType<struct ImageKeyTag, std::uint64_t>;

inline ImageKey key_of(const ImageId& image) { return ImageKey(std::hash<ImageId>{}(image)); }

/// A small sorted set of image keys.
class ImageSet {
 public:
  void insert(const ImageId& image) {
    const ImageKey key = key_of(image);
    const auto place = std::lower_bound(keys_.begin(), keys_.end(), key);
    if (place == keys_.end() || *place != key) keys_.insert(place, key);
  }
  [[nodiscard]] bool contains(ImageKey key) const {
    return std::binary_search(keys_.begin(), keys_.end(), key);
  }
  [[nodiscard]] bool contains(const ImageId& image) const { return contains(key_of(image)); }
  bool operator==(const ImageSet&) const = default;

 private:
  std::vector<ImageKey> keys_;  // sorted
};

}  // namespace marblevale
