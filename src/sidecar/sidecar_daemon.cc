#include "src/sidecar/sidecar_daemon.h"

#include <csignal>
#include <random>
#include <utility>
#include <vector>

#include "jacinthspool/impl/overloaded.h"
#include "jacinthspool/routing/stage_orders.h"
#include "jacinthspool/routing/stage_plan.h"
#include "src/cli/exit_code.h"
#include "src/gateway/background_call.h"
#include "src/gateway/snapshot_query.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

/// Between two snapshot queries while the own engine prefills or is not listed.
constexpr milliseconds kQueryPeriod = milliseconds(1500);
/// The same while it decodes. Longer, since without a prefill share no plan changes a decode
/// engine.
constexpr milliseconds kDecodeQueryPeriod = milliseconds(5000);
/// Delay of the first query, which lets the gateways read their list first.
constexpr milliseconds kFirstQueryDelay = milliseconds(700);
/// The list must have held the same engines for this long before an order is sent.
constexpr milliseconds kStableTime = milliseconds(2000);
constexpr milliseconds kOrderTimeout = seconds(1);

class sidecar_daemon {
 public:
  sidecar_daemon(std::shared_ptr<const process_settings> process, gateway_platform platform)
      : process_(std::move(process)),
        platform_(std::move(platform)),
        client_({.loop = loop_, .timers = timers_}),
        plan_({.prefill_percent = static_cast<std::uint32_t>(process_->sidecar->prefill_percent)}),
        random_(std::random_device{}()) {}

  void Run() {
    Log(log_level::kInfo, "started", {{"role", "sidecar"}, {"engine", process_->sidecar->engine}});
    loop_.OnSignal(SIGTERM, [this] {
      Log(log_level::kInfo, "stopped", {});
      loop_.Stop();
    });
    // No setting of a sidecar can change without a restart.
    loop_.OnSignal(SIGHUP, [] { Log(log_level::kInfo, "reload_ignored", {}); });
    ScheduleQuery(kFirstQueryDelay);
    loop_.Run();
  }

 private:
  void ScheduleQuery(milliseconds delay) {
    const auto jitter = milliseconds(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(delay.count() / 3)));
    query_timer_ = timers_.After(delay + jitter, [this](instant /*now*/) { Query(); });
  }

  void Query() {
    if (!process_->peers.empty()) {
      query_ = std::make_unique<snapshot_query>(snapshot_query::options{
          .timers = timers_,
          .client = client_,
          .address = AnyPeer(),
          .scope = {.configuration_after = std::nullopt, .list_after = list_position_},
          .on_answer = [this](std::optional<gateway_snapshot> snapshot) {
            if (snapshot) {
              ApplyPrefillShare(*snapshot);
              ApplyList(std::move(*snapshot));
              Decide();
            }
          }});
    }
    ScheduleQuery(decoding_ ? kDecodeQueryPeriod : kQueryPeriod);
  }

  void ApplyPrefillShare(const gateway_snapshot& snapshot) {
    const auto share = snapshot.prefill_shares.find(process_->sidecar->service);
    if (share != snapshot.prefill_shares.end()) {
      prefill_share_ = share->second;
    }
  }

  void ApplyList(gateway_snapshot snapshot) {
    if (snapshot.list_position > list_position_) {
      listed_ = std::move(snapshot.backends);
      list_position_ = snapshot.list_position;
      return;
    }
    for (const backend_record& leaving : snapshot.backends) {
      for (backend_record& known : listed_) {
        known.leaving =
            known.leaving || (known.id == leaving.id && known.started_ms == leaving.started_ms);
      }
    }
  }

  void Decide() {
    std::vector<backend_record> engines;
    const backend_record* own = nullptr;
    std::vector<std::string> ids;
    for (const backend_record& record : listed_) {
      if (record.service == process_->sidecar->service) {
        engines.push_back(record);
        ids.push_back(record.id);
      }
      if (record.address == process_->sidecar->engine &&
          (own == nullptr || record.published > own->published)) {
        own = &record;
      }
    }
    decoding_ = own != nullptr && own->stage == engine_stage::kDecode;
    const instant now = timer_service::now();
    if (ids != engine_ids_) {
      engine_ids_ = std::move(ids);
      engine_ids_since_ = now;
    }
    const auto change = own == nullptr ? std::optional<engine_stage>()
                                       : plan_.Change(engines, own->id, prefill_share_);
    const bool confirmed = change && change == pending_change_;
    pending_change_ = change;
    if (confirmed && now - engine_ids_since_ >= kStableTime && orders_.MayAsk(now)) {
      AskForRecord(*own, *change);
    }
  }

  /// The order follows once a gateway has read the engine's record.
  void AskForRecord(const backend_record& planned, engine_stage wanted) {
    if (record_query_ && !record_query_->answered()) {
      return;
    }
    record_query_ = std::make_unique<snapshot_query>(snapshot_query::options{
        .timers = timers_,
        .client = client_,
        .address = AnyPeer(),
        .backend = planned.id,
        .on_answer = [this, planned, wanted](const std::optional<gateway_snapshot>& answer) {
          const order_decision decision =
              answer ? orders_.Decide(planned, wanted, RecordOf(*answer), timer_service::now())
                     : order_withheld{"no gateway has read the record"};
          std::visit(
              overloaded{[&](const stage_order& order) { Order(order, answer->list_position); },
                         [&](const order_withheld& withheld) {
                           Log(log_level::kInfo, "stage_order_withheld",
                               {{"backend", planned.id},
                                {"stage", ToString(wanted)},
                                {"reason", withheld.reason},
                                {"list_revision", list_position_.revision},
                                {"revision", answer ? answer->list_position.revision : 0}});
                         }},
              decision);
        }});
  }

  void Order(const stage_order& order, const store_position& read_at) {
    Log(log_level::kInfo, "stage_ordered",
        {{"backend", order.backend},
         {"stage", ToString(order.stage)},
         {"engines", engine_ids_.size()},
         {"prefill_share", prefill_share_.value_or(-1)},
         {"list_revision", list_position_.revision},
         {"era", read_at.era},
         {"revision", read_at.revision},
         {"fence", order.fence}});
    one_way_.Send({.loop = loop_,
                   .timers = timers_,
                   .client = client_,
                   .address = order.address,
                   .bytes = platform_.dialect->EncodeStageOrder(order, process_->name),
                   .timeout = kOrderTimeout});
  }

  [[nodiscard]] const std::string& AnyPeer() {
    return process_->peers[random_() % process_->peers.size()];
  }

  std::shared_ptr<const process_settings> process_;
  gateway_platform platform_;
  event_loop loop_;
  timer_service timers_{loop_};
  http1_client client_;
  background_calls one_way_;
  stage_plan plan_;
  std::mt19937_64 random_;
  std::unique_ptr<snapshot_query> query_;
  timer_subscription query_timer_;
  std::vector<backend_record> listed_;
  store_position list_position_;
  bool decoding_ = false;                ///< The own engine is a decode engine.
  std::vector<std::string> engine_ids_;  ///< Ids of the engines of the service, as last listed.
  instant engine_ids_since_{};
  std::optional<double> prefill_share_;         ///< From the last snapshot that had one.
  std::optional<engine_stage> pending_change_;  ///< Change that the previous query led to.
  stage_orders orders_{{}, timer_service::now()};
  std::unique_ptr<snapshot_query> record_query_;
};

}  // namespace

int RunSidecar(std::shared_ptr<const process_settings> process, gateway_platform platform) {
  OpenLog({.process = process->name, .file = process->log_file});
  sidecar_daemon daemon(std::move(process), std::move(platform));
  daemon.Run();
  return kExitOk;
}

}  // namespace jacinthspool
