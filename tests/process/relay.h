#ifndef JACINTHSPOOL_TESTS_PROCESS_RELAY_H_
#define JACINTHSPOOL_TESTS_PROCESS_RELAY_H_

#include <cstddef>
#include <memory>
#include <string>

#include "src/transport/event_loop.h"
#include "tests/process/test_environment.h"

namespace jacinthspool::testing {

/// \brief A TCP proxy between two processes with which the test cuts, stalls and restores the link.
class relay {
 public:
  /// \param target ip:port to which connections are forwarded.
  relay(test_environment& environment, std::string target);

  /// \param address ip:port at which it listens; port 0 selects a free one.
  relay(event_loop& loop, const std::string& address, std::string target);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  /// \returns The address to connect to in place of the target.
  [[nodiscard]] const std::string& address() const;

  /// \brief Closes all connections, and each new one as soon as it is accepted.
  void Cut();

  /// \brief Stops forwarding in both directions; connections stay open.
  void Stall();

  /// \brief Stops forwarding from the target; bytes of the caller are forwarded.
  void StallReplies();

  /// \brief Stops forwarding from the caller; bytes of the target are forwarded.
  void StallRequests();

  /// \brief Answers no opening of a connection, as a server whose queue of new connections is full.
  ///
  /// A caller's kernel repeats the opening after a second.
  void IgnoreOpenings();

  /// \brief Forwards the replies of all connections together at no more than this rate; 0: at any.
  void PaceReplies(std::size_t bytes_per_second);

  /// \brief Ends a cut, a stall or an ignoring; bytes that were held back are forwarded.
  void Heal();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_RELAY_H_
