#ifndef JACINTHSPOOL_TESTS_PROCESS_RELAY_H_
#define JACINTHSPOOL_TESTS_PROCESS_RELAY_H_

#include <memory>
#include <string>

#include "tests/process/world.h"

namespace jacinthspool::testing {

/// \brief A TCP link between two processes that the test can cut, stall and heal.
class relay {
 public:
  /// \param target ip:port that connections are passed on to.
  relay(world& around, std::string target);
  ~relay();
  relay(const relay&) = delete;
  relay& operator=(const relay&) = delete;

  /// \returns The address to connect to in place of the target.
  [[nodiscard]] const std::string& address() const;

  /// \brief Closes all connections and refuses new ones.
  void Cut();

  /// \brief Holds all bytes back, in both directions; connections stay open.
  void Stall();

  /// \brief Holds back what the target sends; what the caller sends is passed on.
  void StallReplies();

  /// \brief Holds back what the caller sends; what the target sends is passed on.
  void StallRequests();

  /// \brief Ends a cut or a stall; bytes held back are passed on.
  void Heal();

 private:
  struct state;
  std::unique_ptr<state> state_;
};

}  // namespace jacinthspool::testing

#endif  // JACINTHSPOOL_TESTS_PROCESS_RELAY_H_
