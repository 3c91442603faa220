#include <doctest/doctest.h>
#include <rapidcheck.h>

#include <array>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "platform/replica_dialect.h"
#include "src/gateway/gateway.h"
#include "tests/gateway/fake_platform.h"
#include "tests/transport/loop_step.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kRouteTimeout = milliseconds(60);
constexpr std::size_t kMaxCallers = 12;

/// What a server does next with one of the requests that it has.
enum class reply_step {
  kServe,
  kRefuse,
  kRefuseAsFull,
  kFail,
  kForge,
  kLose,
  kBreakOff,
  kEvent,
  kCount
};

enum class model_step {
  kArrive,
  kSockets,
  kTime,
  kReply,
  kCallerLeaves,
  kLimit,
  kServerEnds,
  kServerReturns,
  kDeadServer,
  kVerdicts,
  kConfiguration,
  kStop,
  kCount
};

/// One request as a server has it.
struct model_arrival {
  std::string id;
  http1_request request;
  std::unique_ptr<any_answer> answer;
  bool counted = false;  ///< In `may_have_run`.
  bool begun = false;
  bool open = true;  ///< Neither answered nor given up by the gateway.
};

struct model_server {
  std::unique_ptr<http1_server> server;
  backend_record record;
};

struct model_totals {
  std::size_t sent_again = 0;
  std::size_t waited_for_slot = 0;
  std::size_t reserved = 0;
  std::size_t replaced = 0;
  std::size_t refused = 0;
  std::size_t promised = 0;  ///< Callers that were told that their request has not run.
};

/// Callers, one gateway whose timers and sockets are driven one step at a time, and its servers.
struct exchange_model {
  event_loop loop;
  timer_service edge_timers{loop};
  stepped_timers clock;
  http1_client client{{.loop = loop, .timers = clock.timers}};
  platform::replica_dialect dialect;
  gateway router{{.loop = loop,
                  .timers = clock.timers,
                  .client = client,
                  .dialect = dialect,
                  .data_centre = "dc",
                  .name = "g"}};
  std::string error;
  std::vector<std::unique_ptr<model_arrival>> arrivals;
  std::vector<model_server> servers;
  std::unique_ptr<http1_server> edge =
      http1_server::Listen({.loop = loop,
                            .timers = edge_timers,
                            .address = "127.0.0.1:0",
                            .on_request =
                                [this](http1_request request, http1_responder answer) {
                                  router.HandleRequest(std::move(request), std::move(answer));
                                }},
                           error);
  std::vector<raw_socket> callers;
  std::vector<std::string> received;        ///< By each caller.
  std::map<std::string, int> may_have_run;  ///< By id: arrivals without a proof of "not run".
  std::map<std::string, int> arrived;
  std::set<std::string> ran_twice;
  std::uint64_t revision = 0;
  std::uint64_t version = 0;
  std::string stated;  ///< Limit that the servers name; empty: none.
  bool stopping = false;
  model_totals& totals;

  explicit exchange_model(model_totals& the_totals) : totals(the_totals) {
    gateway_settings settings;
    settings.repeat_ratio = 1;
    settings.repeat_extra = 50;
    router.ApplySettings(settings);
    Configure();
    router.OnBackends({}, ++revision);
    AddServer("plain", engine_stage::kNone);
    AddServer("plain", engine_stage::kNone);
    AddServer("model", engine_stage::kDecode);
    AddServer("model", engine_stage::kDecode);
    AddServer("model", engine_stage::kPrefill);
  }

  template <typename Enum>
  static Enum Any() {
    return static_cast<Enum>(*rc::gen::inRange(0, static_cast<int>(Enum::kCount)));
  }
  static std::size_t AnyOf(std::size_t count) { return *rc::gen::inRange<std::size_t>(0, count); }

  void Configure() {
    auto made = std::make_shared<forward_configuration>();
    made->version = ++version;
    const milliseconds timeout = kRouteTimeout + milliseconds(10) * (version % 3);
    const auto add = [&](const char* prefix, request_kind kind, const char* service) {
      made->routes.push_back({.name = prefix,
                              .host = "h",
                              .prefix = prefix,
                              .kind = kind,
                              .max_attempts = 3,
                              .timeout = timeout,
                              .latency_objective = milliseconds(4),
                              .silence_limit = milliseconds(0),
                              .targets = {{.service = service}},
                              .resumable = kind == request_kind::kStreaming});
    };
    add("/once/", request_kind::kNonIdempotent, "plain");
    add("/once-model/", request_kind::kNonIdempotent, "model");
    add("/again/", request_kind::kIdempotent, "plain");
    add("/stream/", request_kind::kStreaming, "model");
    made->services["plain"] = {.name = "plain"};
    made->services["model"] = {
        .name = "model",
        .engine = engine_profile{.kv_tokens = 20000,
                                 .kv_handle_life = milliseconds(10),
                                 // Without reservations its requests wait for slots.
                                 .longest_hold = seconds(version % 2 == 0 ? 0 : 2)}};
    router.OnConfiguration(std::move(made));
  }

  void AddServer(const std::string& service, engine_stage stage) {
    auto server = http1_server::Listen({.loop = loop,
                                        .timers = edge_timers,
                                        .address = "127.0.0.1:0",
                                        .on_request =
                                            [this](http1_request request, http1_responder answer) {
                                              OnArrival(std::move(request), std::move(answer));
                                            }},
                                       error);
    const std::string address = "127.0.0.1:" + std::to_string(server->port());
    servers.push_back({.server = std::move(server),
                       .record = {.id = "i-" + std::to_string(servers.size()),
                                  .service = service,
                                  .address = address,
                                  .data_centre = "dc",
                                  .stage = stage,
                                  .slots = 4}});
    Publish(servers.back().record);
  }
  void Publish(backend_record record) {
    record.published = ++revision;
    router.OnBackendPut(std::move(record));
  }

  [[nodiscard]] static bool MustNotRunTwice(const http1_request& request) {
    return request.head.target.starts_with("/once");
  }

  void OnArrival(http1_request request, http1_responder answer) {
    const std::string id(request.head.Find("X-Request-Id").value_or(""));
    auto next = std::make_unique<model_arrival>();
    next->id = id;
    next->answer = std::make_unique<any_answer>(std::move(answer));
    next->answer->OnCallerDisconnected([raw = next.get()] { raw->open = false; });
    const bool prefill = request.head.Find("X-Stage").has_value();
    if (MustNotRunTwice(request) && !prefill) {
      next->counted = true;
      totals.sent_again += arrived[id]++ > 0 ? 1 : 0;
      if (++may_have_run[id] > 1) {
        ran_twice.insert(id);
      }
    } else {
      totals.replaced += arrived[id]++ > 0 ? 1 : 0;
    }
    next->request = std::move(request);
    arrivals.push_back(std::move(next));
  }

  void Arrive() {
    static constexpr std::array<const char*, 4> kPaths = {"/once/", "/once-model/", "/again/",
                                                          "/stream/"};
    if (callers.size() == kMaxCallers) {
      return;
    }
    const std::string path = kPaths.at(AnyOf(kPaths.size()));
    const bool model = path == "/once-model/" || path == "/stream/";
    callers.push_back(raw_socket::Connect(edge->port()));
    received.emplace_back();
    callers.back().Write("POST " + path + " HTTP/1.1\r\nHost: h\r\nX-Request-Id: r" +
                         std::to_string(callers.size()) + "\r\n" +
                         (model ? "X-Token-Count: 30,10\r\n" : "") +
                         "X-Deadline-Ms: 80\r\nContent-Length: 4\r\n\r\nbody");
  }

  http_headers Headers(const http1_request& request) const {
    http_headers headers = scripted_backend::Genuine(request);
    if (!stated.empty()) {
      headers.emplace_back("Server-Limit", stated);
    }
    return headers;
  }

  void Refuse(model_arrival& one, int status) {
    http_headers headers = Headers(one.request);
    headers.emplace_back("X-Not-Run", "1");
    may_have_run[one.id] -= one.counted ? 1 : 0;
    totals.refused += 1;
    one.answer->Reply(status, headers, "");
  }

  void Do(reply_step step, model_arrival& one) {
    const bool reserves = one.request.head.target == "/v1/hold-take";
    const http_headers headers = Headers(one.request);
    if (one.begun && step != reply_step::kEvent && step != reply_step::kServe) {
      step = reply_step::kLose;
    }
    one.open = step == reply_step::kEvent;
    switch (step) {
      case reply_step::kServe:
        if (one.begun) {
          one.answer->End();
        } else {
          totals.reserved += reserves ? 1 : 0;
          one.answer->Reply(200, headers, reserves ? R"({"hold":"room"})" : R"({"handle":"k"})");
        }
        return;
      case reply_step::kRefuse:
        Refuse(one, 503);
        return;
      case reply_step::kRefuseAsFull:
        Refuse(one, 429);
        return;
      case reply_step::kFail:
        one.answer->Reply(500, headers, "");
        return;
      case reply_step::kForge:
        one.answer->Reply(200, {{"X-Request-Id", one.id}}, "");
        return;
      case reply_step::kBreakOff:
        one.answer->Begin(200, headers);
        one.answer->Send("id: 1\ndata");
        one.answer->Abort();
        return;
      case reply_step::kEvent:
        if (!std::exchange(one.begun, true)) {
          one.answer->Begin(200, headers);
        }
        one.answer->Send(scripted_backend::Event(++events));
        return;
      case reply_step::kLose:
      case reply_step::kCount:
        one.answer->Abort();
        return;
    }
  }
  int events = 0;

  [[nodiscard]] std::vector<model_arrival*> Open() const {
    std::vector<model_arrival*> open;
    for (const auto& each : arrivals) {
      if (each->open) {
        open.push_back(each.get());
      }
    }
    return open;
  }

  void Reply() {
    const std::vector<model_arrival*> open = Open();
    if (!open.empty()) {
      model_arrival& one = *open[AnyOf(open.size())];
      // Otherwise few requests would be sent with a reservation.
      const bool reserves = one.request.head.target == "/v1/hold-take" && AnyOf(2) == 0;
      Do(reserves ? reply_step::kServe : Any<reply_step>(), one);
    }
  }

  /// A server of the list is replaced by its next incarnation, or leaves it.
  void ChangeServer(bool returns) {
    backend_record& record = servers[AnyOf(servers.size())].record;
    if (!returns) {
      router.OnBackendRemoved(record.id, ++revision);
      return;
    }
    ++record.started_ms;
    Publish(record);
  }

  /// A listed server that refuses connections.
  void AddDeadServer() {
    raw_socket closed = raw_socket::Listen();
    const std::string address = "127.0.0.1:" + std::to_string(closed.port());
    closed.Close();
    Publish({.id = "i-dead",
             .service = AnyOf(2) == 0 ? "plain" : "model",
             .address = address,
             .data_centre = "dc",
             .stage = engine_stage::kNone,
             .slots = 4});
  }

  void NameLimit() {
    static constexpr std::array<const char*, 4> kLimits = {"", "40", "200", "600"};
    stated = kLimits.at(AnyOf(kLimits.size()));
    gateway_snapshot news;
    for (const model_server& each : servers) {
      news.limits.push_back(
          {.backend = each.record.id,
           .started_ms = each.record.started_ms,
           .per_second = stated.empty() ? std::nullopt : std::optional(std::stod(stated)),
           .stated = timer_service::now()});
    }
    router.ApplyFleet(news);
  }

  void Stop() {
    if (!std::exchange(stopping, true)) {
      router.SetGateways(3);
      router.BeginStop(planned_stop({.begun = timer_service::now(),
                                     .grace = milliseconds(90),
                                     .balancer_delay = milliseconds(5),
                                     .max_margin = milliseconds(20)}));
    }
  }

  void Step() {
    using step = model_step;
    switch (*rc::gen::weightedElement<step>({{8, step::kArrive},
                                             {16, step::kSockets},
                                             {8, step::kTime},
                                             {16, step::kReply},
                                             {2, step::kCallerLeaves},
                                             {3, step::kLimit},
                                             {1, step::kServerEnds},
                                             {1, step::kServerReturns},
                                             {1, step::kDeadServer},
                                             {2, step::kVerdicts},
                                             {2, step::kConfiguration},
                                             {1, step::kStop}})) {
      case step::kArrive:
        Arrive();
        return;
      case step::kSockets:
        RunOnce(loop);
        return;
      case step::kTime:
        clock.FireAfter(milliseconds(*rc::gen::inRange(0, 8)));
        return;
      case step::kReply:
        Reply();
        return;
      case step::kCallerLeaves:
        if (!callers.empty()) {
          callers[AnyOf(callers.size())].Reset();
        }
        return;
      case step::kLimit:
        NameLimit();
        return;
      case step::kServerEnds:
        ChangeServer(false);
        return;
      case step::kServerReturns:
        ChangeServer(true);
        return;
      case step::kDeadServer:
        AddDeadServer();
        return;
      case step::kVerdicts:
        router.ApplyFleet({});
        return;
      case step::kConfiguration:
        Configure();
        return;
      case step::kStop:
        Stop();
        return;
      case step::kCount:
        return;
    }
  }

  void RunSockets() {
    for (int i = 0; i < 6; ++i) {
      RunOnce(loop);
    }
  }

  /// The gateway gives up an attempt before it begins the next one.
  void CheckAttempts() {
    RunSockets();
    std::map<std::string, int> under_way;
    for (const model_arrival* each : Open()) {
      if (!each->id.empty()) {
        RC_ASSERT(++under_way[each->id] <= 1);
      }
    }
    RC_ASSERT(ran_twice.empty());
    totals.waited_for_slot += router.waiting();
  }

  /// Ends what is in progress: by the deadlines, or by callers that leave.
  void Settle(bool callers_leave) {
    if (callers_leave) {
      for (raw_socket& each : callers) {
        each.Reset();
      }
    }
    RunSockets();
    for (int i = 0; i < 40 && router.in_progress() > 0; ++i) {
      clock.FireAfter(milliseconds(5));
      CheckAttempts();
    }
    RC_ASSERT(router.in_progress() == std::size_t{0});
    RC_ASSERT(router.waiting() == std::size_t{0});
    RunSockets();
    const std::size_t sends = SendsOfCallers();
    clock.FireAfter(milliseconds(5));
    RunSockets();
    RC_ASSERT(SendsOfCallers() == sends);
    for (const model_arrival* each : Open()) {
      RC_ASSERT(each->id.empty());
    }
    RC_ASSERT(ran_twice.empty());
    CheckPromises();
    RC_ASSERT(client.bytes_after_end() == std::uint64_t{0});
  }

  /// A caller that was told "not run" has had no send whose fate was open.
  void CheckPromises() {
    for (std::size_t i = 0; i < callers.size(); ++i) {
      if (!callers[i].is_open()) {
        continue;
      }
      callers[i].Read(received[i]);
      for (const char* status : {"408", "421", "429", "503"}) {
        if (received[i].starts_with(std::string("HTTP/1.1 ") + status)) {
          ++totals.promised;
          const auto found = may_have_run.find("r" + std::to_string(i + 1));
          RC_ASSERT(found == may_have_run.end() || found->second == 0);
        }
      }
    }
  }
  [[nodiscard]] std::size_t SendsOfCallers() const {
    std::size_t sends = 0;
    for (const auto& [id, count] : arrived) {
      sends += id.empty() ? 0 : static_cast<std::size_t>(count);
    }
    return sends;
  }
};

// Guards also against "not run" for a request that a server may run.
TEST_CASE("in any order of events a request has one attempt under way and none after its end") {
  model_totals totals;
  const bool held = rc::check("exchanges", [&] {
    exchange_model model(totals);
    const int steps = *rc::gen::inRange(20, 90);
    for (int i = 0; i < steps; ++i) {
      model.Step();
      if (i % 8 == 7) {
        model.CheckAttempts();
      }
    }
    model.Settle(*rc::gen::inRange(0, 2) == 0);
  });
  CHECK(held);
  MESSAGE("sent again: " << totals.sent_again << ", sends in place of a silent or failed one: "
                         << totals.replaced << ", waiting for a place: " << totals.waited_for_slot
                         << ", reserved: " << totals.reserved << ", refused by servers: "
                         << totals.refused << ", callers told 'not run': " << totals.promised);
  // Otherwise the checks above would have nothing to look at.
  CHECK(totals.sent_again > 0);
  CHECK(totals.replaced > 0);
  CHECK(totals.waited_for_slot > 0);
  CHECK(totals.reserved > 0);
  CHECK(totals.promised > 0);
}

}  // namespace
}  // namespace jacinthspool
