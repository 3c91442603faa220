#include "src/sidecar/sidecar_daemon.h"

#include <csignal>
#include <random>
#include <utility>
#include <vector>

#include "jacinthspool/routing/stage_plan.h"
#include "src/cli/exit_code.h"
#include "src/gateway/one_way_call.h"
#include "src/gateway/snapshot_question.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

/// Between two looks at the list while the own engine prefills or is not known.
constexpr milliseconds kLookPeriod = milliseconds(1500);
/// The same while it decodes, which no plan changes.
constexpr milliseconds kRestingPeriod = milliseconds(5000);
/// The first look, after the gateways have read their list.
constexpr milliseconds kFirstLook = milliseconds(700);
/// The list must have had the same engines for so long before an order follows from it.
constexpr milliseconds kSettledFor = milliseconds(2000);
/// An order is given again only after this long; the engine needs seconds to carry it out.
constexpr milliseconds kOrderPause = seconds(20);

class sidecar_daemon {
 public:
  sidecar_daemon(std::shared_ptr<const process_settings> process, gateway_platform platform)
      : process_(std::move(process)),
        platform_(std::move(platform)),
        client_({.loop = loop_, .timers = timers_}),
        plan_({.prefill_percent = process_->sidecar->prefill_percent}),
        random_(std::random_device{}()) {}

  void Run() {
    Log(log_level::kInfo, "started", {{"role", "sidecar"}, {"engine", process_->sidecar->engine}});
    loop_.OnSignal(SIGTERM, [this] {
      Log(log_level::kInfo, "stopped", {});
      loop_.Stop();
    });
    // A sidecar has nothing that a changed settings file could change without a restart.
    loop_.OnSignal(SIGHUP, [] { Log(log_level::kInfo, "reload_ignored", {}); });
    LookIn(kFirstLook);
    loop_.Run();
  }

 private:
  void LookIn(milliseconds delay) {
    const auto jitter = milliseconds(
        static_cast<std::int64_t>(random_() % static_cast<std::uint64_t>(delay.count() / 3)));
    look_ = timers_.After(delay + jitter, [this](instant /*now*/) { Look(); });
  }

  void Look() {
    if (!process_->peers.empty()) {
      question_ = std::make_unique<snapshot_question>(snapshot_question::options{
          .timers = timers_,
          .client = client_,
          .address = process_->peers[random_() % process_->peers.size()],
          .gateway = {},
          .scope = {.configuration_after = std::nullopt, .list_after = list_position_},
          .on_answer = [this](std::optional<gateway_snapshot> snapshot) {
            if (snapshot) {
              TakeShare(*snapshot);
              TakeList(std::move(*snapshot));
              Decide();
            }
          }});
    }
    LookIn(resting_ ? kRestingPeriod : kLookPeriod);
  }

  void TakeShare(const gateway_snapshot& snapshot) {
    const auto told = snapshot.prefill_shares.find(process_->sidecar->service);
    if (told != snapshot.prefill_shares.end()) {
      prefill_share_ = told->second;
    }
  }

  void TakeList(gateway_snapshot snapshot) {
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
    resting_ = own != nullptr && own->stage == engine_stage::kDecode;
    const instant now = timer_service::now();
    if (ids != known_) {
      known_ = std::move(ids);
      known_since_ = now;
    }
    const auto change = own == nullptr ? std::optional<engine_stage>()
                                       : plan_.Change(engines, own->id, prefill_share_);
    const bool confirmed = change && change == considered_;
    considered_ = change;
    if (!confirmed || now - known_since_ < kSettledFor ||
        (ordered_ != instant{} && now - ordered_ < kOrderPause)) {
      return;
    }
    ordered_ = now;
    Log(log_level::kInfo, "stage_ordered",
        {{"backend", own->id},
         {"stage", *change == engine_stage::kPrefill ? "prefill" : "decode"},
         {"engines", engines.size()},
         {"prefill_share", prefill_share_.value_or(-1)},
         {"list_revision", list_position_.revision}});
    one_way_.Send({.loop = loop_,
                   .client = client_,
                   .address = own->address,
                   .bytes = platform_.dialect->EncodeStageOrder(
                       own->address, own->id, *change, process_->name, list_position_.ordinal())});
  }

  std::shared_ptr<const process_settings> process_;
  gateway_platform platform_;
  event_loop loop_;
  timer_service timers_{loop_};
  http1_client client_;
  one_way_calls one_way_;
  stage_plan plan_;
  std::mt19937_64 random_;
  std::unique_ptr<snapshot_question> question_;
  timer_subscription look_;
  std::vector<backend_record> listed_;
  history_position list_position_;
  bool resting_ = false;            ///< The own engine decodes.
  std::vector<std::string> known_;  ///< Engines of the service, as last listed.
  instant known_since_{};
  std::optional<double> prefill_share_;     ///< As a gateway told it last.
  std::optional<engine_stage> considered_;  ///< What the last look would have ordered.
  instant ordered_{};
};

}  // namespace

int RunSidecar(std::shared_ptr<const process_settings> process, gateway_platform platform) {
  OpenLog({.process = process->name, .file = process->log_file});
  sidecar_daemon daemon(std::move(process), std::move(platform));
  daemon.Run();
  return kExitOk;
}

}  // namespace jacinthspool
