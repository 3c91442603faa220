#ifndef JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_
#define JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "jacinthspool/routing/gateway_count_estimate.h"
#include "jacinthspool/routing/gateway_members.h"
#include "src/gateway/gateway.h"
#include "src/gateway/snapshot_query.h"
#include "src/telemetry/line_limit.h"
#include "src/transport/http1_client.h"
#include "src/transport/http1_server.h"

namespace jacinthspool {

/// \brief Exchanges snapshots with other gateways, so that a gateway without the publisher gets
/// the state of the others.
///
/// While the publisher is available, one random peer is queried at a time; while it
/// is not, or nothing is known yet, all peers are queried at short intervals.
class peer_exchange {
 public:
  struct options {
    event_loop& loop;
    timer_service& timers;
    http1_client& client;
    gateway& owner;
    std::string listen;              ///< ip:port at which snapshots are served.
    std::string name;                ///< Of this process.
    std::vector<std::string> peers;  ///< ip:port each; may include this process.
    /// Reads the record of one server from the publisher; empty: such requests are not served.
    std::function<void(const std::string& id, std::function<void(std::optional<current_record>)>)>
        read_backend = {};
  };

  explicit peer_exchange(options settings);
  ~peer_exchange();

  /// \returns false and fills `error` when the address cannot be bound.
  bool Start(std::string& error);

 private:
  void QueryPeers();
  void QueryPeer(const std::string& address);
  /// \brief Queries all known gateways now; one whose query is open, again after its answer.
  void TellAll();
  /// \brief Remembers a gateway that queries this one, which others may not know.
  void Learn(const http1_request& request, instant now);
  void Answer(const http1_request& request, http1_responder answer);
  void AnswerRecord(const http1_request& request, http1_responder answer);
  [[nodiscard]] std::uint32_t CountGateways(instant now) const;
  /// \brief Tells the directory of streams which gateways there are.
  void UpdateMembers(instant now);

  options settings_;
  std::unique_ptr<http1_server> server_;
  std::map<std::string, std::unique_ptr<snapshot_query>> queries_;  ///< By peer.
  std::set<std::string> told_late_;  ///< Peers to query again once their open query has ended.
  /// Addresses of other gateways by the time of their last query, the configured peers left out.
  std::map<std::string, instant> learned_;
  std::map<std::string, instant> last_query_;               ///< Time of each gateway's last query.
  std::map<std::string, std::uint32_t> reported_gateways_;  ///< Count reported by each peer.
  instant start_;
  gateway_count_estimate members_;
  gateway_members addresses_;
  std::size_t records_read_ = 0;  ///< Reads of records in progress.
  bool was_limited_ = false;      ///< Some server's limit was in force at the last query.
  bool lacked_news_ = true;       ///< The publisher's news were missing at the last query.
  bool had_pace_news_ = false;    ///< At the last check for news.
  line_limit fault_lines_{{}};    ///< By peer.
  timer_subscription next_;
  timer_subscription news_check_;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);  ///< For posted actions.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_PEER_EXCHANGE_H_
