#ifndef JACINTHSPOOL_ROUTING_STREAM_ORIGINS_H_
#define JACINTHSPOOL_ROUTING_STREAM_ORIGINS_H_

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "jacinthspool/impl/time.h"

namespace jacinthspool {

/// \brief What wrote the first event of a stream.
struct stream_origin {
  std::string service = {};
  std::string software = {};  ///< Version of the server's software.

  friend bool operator==(const stream_origin& left, const stream_origin& right) = default;
};

/// \brief Origins of the streams that their callers may take up again.
///
/// Load: an entry of about 200 bytes for each stream that this gateway began, or whose home it is,
/// for as long as its caller may wait.
class stream_origins {
 public:
  struct options {
    std::size_t most = 20000;  ///< Entries; of more, those that end first are dropped.
    microseconds longest_life = seconds(300);
  };
  struct entry {
    stream_origin origin = {};
    instant noted{};
    instant until{};
    bool contested = false;  ///< Several origins were stated, so none is known.
  };

  explicit stream_origins(const options& settings) : settings_(settings) {}

  /// \brief Remembers the origin of a stream.
  /// \param stream Hash of the id of the attempt that brought the first event.
  /// \param life How long its caller may take it up again.
  void Note(std::uint64_t stream, const stream_origin& origin, microseconds life, instant now);

  /// \returns The entry, or null when the stream is unknown.
  [[nodiscard]] const entry* Find(std::uint64_t stream, instant now) const;

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

 private:
  void Drop(std::multimap<instant, std::uint64_t>::iterator first);

  options settings_;
  std::map<std::uint64_t, entry> entries_ = {};
  std::multimap<instant, std::uint64_t> ends_ = {};  ///< Streams by the end of their life.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_STREAM_ORIGINS_H_
