#ifndef JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_
#define JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_

#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "jacinthspool/routing/member_estimate.h"
#include "src/gateway/gateway.h"
#include "src/gateway/snapshot_question.h"
#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief Exchanges snapshots with other gateways, so that one that the publisher does not answer
/// learns what the others know.
///
/// While the publisher answers, one peer is asked now and then; while it does
/// not, or nothing is known yet, all are asked often.
class peer_exchange {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    http1_client& client;
    gateway& owner;
    std::string listen;              ///< ip:port for the snapshots asked for by others
    std::string name;                ///< Of this process.
    std::vector<std::string> peers;  ///< ip:port each; this process may be among them
  };

  explicit peer_exchange(options settings);
  ~peer_exchange();

  /// \returns false and fills `error` when the address cannot be bound.
  bool Start(std::string& error);

 private:
  void Ask();
  void AskPeer(const std::string& address);
  void Answer(const http1_request& request, http1_answer& answer);
  [[nodiscard]] std::uint32_t GatewaysKnown(instant now) const;

  options settings_;
  std::unique_ptr<http1_server> server_;
  std::map<std::string, std::unique_ptr<snapshot_question>> questions_;  ///< By peer.
  std::map<std::string, instant> heard_from_;           ///< When each gateway asked last.
  std::map<std::string, std::uint32_t> told_gateways_;  ///< What each peer has counted.
  instant start_;
  member_estimate members_;
  timer_subscription next_;
  std::mt19937_64 random_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_
