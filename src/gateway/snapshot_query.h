#ifndef JACINTHSPOOL_GATEWAY_SNAPSHOT_QUERY_H_
#define JACINTHSPOOL_GATEWAY_SNAPSHOT_QUERY_H_

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "src/gateway/snapshot.h"
#include "src/transport/http1_client.h"
#include "src/transport/reply_watchdog.h"

namespace jacinthspool {

/// Name of the querying gateway; absent when another process queries.
inline constexpr std::string_view kGatewayNameHeader = "X-Jacinthspool-Gateway";
/// Where the querying gateway serves its own snapshot.
inline constexpr std::string_view kGatewayAddressHeader = "X-Jacinthspool-Address";

/// Id of the server whose current record is requested.
inline constexpr std::string_view kBackendHeader = "X-Jacinthspool-Backend";

/// \brief One query of one gateway, for its snapshot or for the current record of one server.
class snapshot_query : public http1_call_listener {
 public:
  struct options {
    timer_service& timers;
    http1_client& client;
    std::string address;       ///< ip:port
    std::string gateway = {};  ///< Name of the querying gateway; empty: another process.
    std::string listen = {};   ///< ip:port at which it serves its own snapshot.
    snapshot_scope scope = {};
    /// Server whose current record is requested in place of the snapshot (`RecordOf` the answer);
    /// empty: none.
    std::string backend = {};
    std::string news = {};  ///< Encoded snapshot that is sent with the query; empty: none.
    /// Called once, with nothing when the query failed. It must not destroy this object.
    std::function<void(std::optional<gateway_snapshot>)> on_answer;
  };

  explicit snapshot_query(options settings);

  head_action OnHead(const http1_head& head) override;
  void OnBody(std::string_view bytes) override {
    body_ += bytes;
    watchdog_.OnBytes(bytes.size());
  }
  void OnEnd(call_outcome end, const std::string& reason) override;

  /// \returns true when `on_answer` has been called.
  [[nodiscard]] bool answered() const { return answered_; }

 private:
  options settings_;
  std::unique_ptr<http1_call> call_;
  reply_watchdog watchdog_;
  instant sent_ = timer_service::now();
  int status_ = 0;
  std::string body_;
  bool answered_ = false;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_SNAPSHOT_QUERY_H_
