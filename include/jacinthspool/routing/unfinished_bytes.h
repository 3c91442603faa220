#ifndef JACINTHSPOOL_ROUTING_UNFINISHED_BYTES_H_
#define JACINTHSPOOL_ROUTING_UNFINISHED_BYTES_H_

#include <cstddef>
#include <map>

#include "jacinthspool/routing/backend_list.h"
#include "jacinthspool/routing/crash_report.h"

namespace jacinthspool {

/// \brief Bytes of the bodies that this process has sent to each backend server and that the server
/// has not finished.
///
/// The load it answers: large bodies. A server ends when the requests that it holds exceed its
/// memory, and only those who send to it can know what it holds. A server that has ended holds
/// nothing, so bytes are counted by incarnation.
class unfinished_bytes {
 public:
  /// \brief One body at one server, until it is destroyed.
  class sending {
   public:
    sending(unfinished_bytes& all, const backend_record& to, std::size_t bytes);
    ~sending();
    sending(const sending&) = delete;
    sending& operator=(const sending&) = delete;

   private:
    unfinished_bytes& all_;
    backend_incarnation to_;
    std::size_t bytes_;
  };

  [[nodiscard]] std::size_t at(const backend_record& server) const;

  /// \returns true for a body whose size matters for the choice of its server.
  [[nodiscard]] static bool IsLarge(std::size_t bytes);

 private:
  std::map<backend_incarnation, std::size_t> bytes_;  ///< Only servers that hold some.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_ROUTING_UNFINISHED_BYTES_H_
