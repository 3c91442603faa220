#ifndef JACINTHSPOOL_TESTS_GATEWAY_CRASHING_FLEET_H_
#define JACINTHSPOOL_TESTS_GATEWAY_CRASHING_FLEET_H_

#include <algorithm>
#include <cstdio>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "tests/crash_rule.h"
#include "tests/gateway/peer_relay.h"
#include "tests/gateway/peered_gateways.h"

namespace jacinthspool {

/// \brief Several gateways, and engines that end as they begin an answer on one part of a prompt.
///
/// An engine that ends closes its connections, leaves the list some time later, and comes back as
/// another incarnation, at its own address or at that of another engine that has ended.
struct crashing_fleet : peered_gateways {
  /// Parts of all sound prompts: the first of all, one of a caller, one of a document.
  static constexpr std::uint64_t kFirstPart = 0xa1;
  static constexpr std::uint64_t kCallers = 6;
  static constexpr std::uint64_t kDocuments = 12;
  static constexpr milliseconds kEventInterval = milliseconds(20);
  static constexpr int kEvents = 6;
  /// From the head of an answer to the end of the engine.
  static constexpr milliseconds kCrashDelay = milliseconds(10);
  static constexpr milliseconds kListedFor = milliseconds(1500);  ///< After its end.
  static constexpr milliseconds kDownFor = milliseconds(3000);

  /// \brief Where a bad part stands in the prompts that hold it; or a whole request is bad.
  enum class place { kFirst, kMiddle, kLastShared, kWholeRequest };

  struct options {
    int gateways = 4;
    int decode_engines = 8;
    int prefill_engines = 2;
    std::vector<place> bad_parts = {};  ///< Parts only, or whole requests only.
    bool prefill_ends = false;          ///< Prefill engines end as well.
    int first_event_after = 0;  ///< Intervals from the head of a sound answer to its first event.
    milliseconds sound_interval = milliseconds(25);
    milliseconds bad_interval = milliseconds(250);
    std::uint64_t seed = 1;
  };

  /// \brief A sound request of a caller, at its first attempt.
  struct sound_call : http1_call_listener {
    crashing_fleet& fleet;
    std::string gateway;
    instant sent = timer_service::now();
    bool success = false;
    bool begun = false;
    bool ended = false;
    std::unique_ptr<http1_call> call = {};

    sound_call(crashing_fleet& the_fleet, std::string the_gateway)
        : fleet(the_fleet), gateway(std::move(the_gateway)) {}
    head_action OnHead(const http1_head& head) override {
      success = head.status == 200;
      return head_action::kAccept;
    }
    void OnBody(std::string_view /*bytes*/) override { begun = success; }
    void OnEnd(call_outcome /*end*/, const std::string& /*reason*/) override {
      ended = true;
      fleet.rule.OnSound(gateway, sent, begun);
    }
  };

  /// \brief An answer in events.
  struct stream {
    std::shared_ptr<any_answer> answer;
    int sent = 0;  ///< Events; negative: intervals until the first one.
  };
  /// \brief One engine, through all its incarnations.
  struct engine {
    backend_record record;
    std::unique_ptr<scripted_backend> server;
    std::vector<stream> streams;
    timer_subscription next;  ///< Its end, its removal or its return.
    bool ending = false;
  };

  options settings;
  testing::crash_rule rule;
  std::vector<std::unique_ptr<engine>> engines;
  std::vector<std::string> free_addresses;  ///< Of engines that have ended.
  std::vector<std::unique_ptr<sound_call>> sound_calls;
  /// By the gateways that query and that are queried.
  std::map<std::pair<std::size_t, std::size_t>, std::unique_ptr<peer_relay>> relays;
  std::uint64_t revision = 1;
  int incarnations = 0;
  int ended_before_event = 0;  ///< Engines that ended under sound answers without an event.
  std::mt19937_64 random;
  timer_subscription pace;
  timer_subscription sound_traffic;
  timer_subscription bad_traffic;

  explicit crashing_fleet(options the_settings)
      : settings(std::move(the_settings)),
        rule(WholeRequests() ? testing::crash_rule::kRequestCrashes
                             : testing::crash_rule::kCrashes),
        random(settings.seed) {
    for (int i = 0; i < settings.decode_engines + settings.prefill_engines; ++i) {
      engines.push_back(std::make_unique<engine>());
      engines.back()->record.stage =
          i < settings.decode_engines ? engine_stage::kDecode : engine_stage::kPrefill;
      Begin(*engines.back());
    }
    peered_gateways::Start(settings.gateways);
    pace = timers.Every(kEventInterval, [this](instant /*now*/) { SendEvents(); });
    sound_traffic = timers.Every(settings.sound_interval, [this](instant /*now*/) { SendSound(); });
  }

  std::vector<std::string> SeedsOf(std::size_t index) override {
    std::vector<std::string> addresses;
    for (std::size_t seed = 0; seed < seeds.size(); ++seed) {
      std::unique_ptr<peer_relay>& relay = relays[{index, seed}];
      if (!relay) {
        relay = std::make_unique<peer_relay>(loop, timers, callers, seeds[seed]);
      }
      addresses.push_back(seed == index ? seeds[seed] : relay->address());
    }
    return addresses;
  }

  void Publish(gateway& router) override {
    auto made = std::make_shared<forward_configuration>();
    made->version = 1;
    for (const bool resumable : {true, false}) {
      made->routes.push_back({.name = resumable ? "resumable" : "brittle",
                              .host = "h",
                              .prefix = resumable ? "/resumable/" : "/brittle/",
                              .kind = request_kind::kStreaming,
                              .max_attempts = 2,
                              .timeout = seconds(4),
                              .latency_objective = milliseconds(300),
                              .silence_limit = seconds(2),
                              .targets = {{.service = "model"}},
                              .resumable = resumable});
    }
    made->services["model"] = {
        .name = "model",
        .engine = engine_profile{
            .kv_tokens = 20000, .kv_handle_life = milliseconds(500), .longest_hold = seconds(2)}};
    std::vector<backend_record> records;
    for (const auto& each : engines) {
      if (each->record.published.revision > 0) {
        records.push_back(each->record);
      }
    }
    peered_gateways::Publish(router, std::move(made), std::move(records), revision);
  }

  template <typename action>
  void ForMembers(action apply) {
    for (const auto& each : members) {
      if (each) {
        apply(each->router);
      }
    }
  }

  /// \brief Starts an engine as a new incarnation.
  void Begin(engine& at) {
    at.record.id = "i-" + std::to_string(++incarnations);
    if (!free_addresses.empty()) {
      std::swap(free_addresses[random() % free_addresses.size()], free_addresses.back());
      at.server = std::make_unique<scripted_backend>(loop, timers, at.record.id,
                                                     std::exchange(free_addresses.back(), {}));
      free_addresses.pop_back();
    }
    if (!at.server || !at.server->server) {
      at.server = std::make_unique<scripted_backend>(loop, timers, at.record.id);
    }
    at.server->script = [this, &at](const http1_request& request, any_answer& answer) {
      Serve(at, request, answer);
    };
    at.ending = false;
    at.record.started_ms = static_cast<std::uint64_t>(incarnations);
    at.record.service = "model";
    at.record.address = at.server->address();
    at.record.data_centre = "dc";
    at.record.slots = 4;
    at.record.published = ++revision;
    ForMembers([&](gateway& router) { router.OnBackendPut(at.record); });
  }

  /// \brief Ends an engine with all its connections.
  void End(engine& at) {
    at.ending = true;
    const bool unbegun = std::any_of(at.streams.begin(), at.streams.end(),
                                     [](const stream& each) { return each.sent <= 0; });
    ended_before_event += unbegun ? 1 : 0;
    at.streams.clear();
    free_addresses.push_back(at.record.address);
    at.server->answers.clear();
    at.server.reset();
    at.next = timers.After(kListedFor, [this, &at](instant /*now*/) {
      ++revision;
      at.record.published = {};
      ForMembers([&](gateway& router) { router.OnBackendRemoved(at.record.id, revision); });
      at.next = timers.After(kDownFor - kListedFor, [this, &at](instant /*now*/) { Begin(at); });
    });
  }

  /// \brief Ends half of the running decode engines at once.
  void EndHalf() {
    std::vector<engine*> running;
    for (const auto& each : engines) {
      if (!each->ending && each->record.stage == engine_stage::kDecode) {
        running.push_back(each.get());
      }
    }
    for (std::size_t i = 0; i < running.size() / 2; ++i) {
      End(*running[i]);
    }
  }

  void Serve(engine& at, const http1_request& request, any_answer& answer) {
    if (request.head.target == "/v1/hold-take") {
      answer.Reply(200, {}, R"({"hold":"room"})");
      return;
    }
    if (request.head.method == "DELETE") {
      answer.Reply(200, {}, "");
      return;
    }
    const std::uint64_t bad = BadPartOf(request);
    if (bad != 0) {
      rule.OnSend(SenderOf(request), bad, timer_service::now());
    }
    const bool prefill = at.record.stage == engine_stage::kPrefill;
    if (bad == 0 || (prefill && !settings.prefill_ends)) {
      Answer(at, request, answer);
      return;
    }
    answer.Begin(200, scripted_backend::Genuine(request));
    if (!std::exchange(at.ending, true)) {
      rule.OnCrash(bad, timer_service::now());
      at.next = timers.After(kCrashDelay, [this, &at](instant /*now*/) { End(at); });
    }
  }

  void Answer(engine& at, const http1_request& request, any_answer& answer) {
    if (at.record.stage == engine_stage::kPrefill) {
      answer.Reply(200, scripted_backend::Genuine(request), R"({"handle":"kv","tokens":300})");
      return;
    }
    answer.Begin(200, scripted_backend::Genuine(request));
    at.streams.push_back(
        {.answer = at.server->answers.back(), .sent = -settings.first_event_after});
  }
  void SendEvents() {
    for (const auto& at : engines) {
      for (stream& each : at->streams) {
        if (++each.sent > kEvents) {
          each.answer->End();
        } else if (each.sent > 0) {
          each.answer->Send(scripted_backend::Event(each.sent));
        }
      }
      std::erase_if(at->streams, [](const stream& each) { return each.sent > kEvents; });
    }
  }

  /// \returns The id of the bad part with that index.
  static std::uint64_t BadPart(std::size_t index) { return 0xbad0 + index; }
  [[nodiscard]] bool IsBad(std::uint64_t part) const {
    return part >= BadPart(0) && part < BadPart(settings.bad_parts.size());
  }

  [[nodiscard]] bool WholeRequests() const {
    return !settings.bad_parts.empty() && settings.bad_parts.front() == place::kWholeRequest;
  }
  /// \returns The body of the bad request with that index.
  static std::string BadBody(std::size_t index) { return "bad " + std::to_string(index); }

  /// \returns The bad part of the request's prompt, or what stands for the bad request; or 0.
  [[nodiscard]] std::uint64_t BadPartOf(const http1_request& request) const {
    for (std::size_t i = 0; WholeRequests() && i < settings.bad_parts.size(); ++i) {
      if (request.body == BadBody(i)) {
        return BadPart(i);
      }
    }
    const auto decoded = dialect.DecodeRequest(request.head);
    const auto& parts = decoded->shared_parts;
    const auto found = std::find_if(parts.begin(), parts.end(),
                                    [this](std::uint64_t each) { return IsBad(each); });
    return found == parts.end() ? 0 : *found;
  }

  /// \returns A random running gateway, or null.
  member* AnyMember() {
    std::vector<member*> running;
    for (const auto& each : members) {
      if (each) {
        running.push_back(each.get());
      }
    }
    return running.empty() ? nullptr : running[random() % running.size()];
  }

  /// \returns Random parts of a sound prompt, without the one of the request itself.
  std::vector<std::uint64_t> SoundParts() {
    return {kFirstPart, 0xb00 + random() % kCallers, 0xd00 + random() % kDocuments};
  }

  std::unique_ptr<http1_call> SendPrompt(member& to, const std::vector<std::uint64_t>& parts,
                                         http1_call_listener& listener,
                                         const std::string& body = "") {
    std::string prefix;
    char text[32];
    for (const std::uint64_t each : parts) {
      std::snprintf(text, sizeof(text), "%llx:80,", static_cast<unsigned long long>(each));
      prefix += text;
    }
    std::snprintf(text, sizeof(text), "%llx:60", static_cast<unsigned long long>(random()));
    return Send(to, !body.empty() || random() % 2 == 0 ? "/resumable/" : "/brittle/",
                "X-Deadline-Ms: 3000\r\nX-Token-Count: 300,20\r\nX-Length-Hint: 10\r\n"
                "X-Prompt-Prefix: " +
                    prefix + text + "\r\n",
                listener, body);
  }
  void SendSound() {
    if (member* to = AnyMember()) {
      sound_calls.push_back(std::make_unique<sound_call>(*this, to->name));
      sound_calls.back()->call = SendPrompt(*to, SoundParts(), *sound_calls.back());
    }
  }
  /// \brief Sends requests with the bad parts to random gateways from now on.
  void SendBad() {
    bad_traffic = timers.Every(settings.bad_interval, [this](instant /*now*/) {
      const std::size_t index = random() % settings.bad_parts.size();
      const place where = settings.bad_parts[index];
      if (where == place::kWholeRequest) {
        if (member* to = AnyMember()) {
          calls.push_back(std::make_unique<counted_call>(statuses));
          calls.back()->call =
              SendPrompt(*to, {kFirstPart, 0xb00, 0xd00}, *calls.back(), BadBody(index));
        }
        return;
      }
      std::vector<std::uint64_t> parts = SoundParts();
      parts.insert(where == place::kFirst    ? parts.begin()
                   : where == place::kMiddle ? parts.begin() + 2
                                             : parts.end(),
                   BadPart(index));
      if (member* to = AnyMember()) {
        calls.push_back(std::make_unique<counted_call>(statuses));
        calls.back()->call = SendPrompt(*to, parts, *calls.back());
      }
    });
  }

  /// \brief Sends no more requests, and waits for the answers.
  void Finish() {
    sound_traffic.Cancel();
    bad_traffic.Cancel();
    RunUntil(loop, [this] {
      return std::all_of(sound_calls.begin(), sound_calls.end(),
                         [](const auto& each) { return each->ended; });
    });
  }

  /// \brief Ends a gateway; it may be started again.
  void Kill(std::size_t index) {
    rule.Excuse(members[index]->name, instant::max());
    members[index].reset();
  }
  void Return(std::size_t index) {
    Restart(index);
    rule.Excuse(members[index]->name, timer_service::now() + testing::crash_rule::kTouch);
  }
  /// \brief Cuts a gateway off from its peers, or ends that.
  void Cut(std::size_t index, bool cut) {
    for (const auto& [ends, relay] : relays) {
      relay->cut = ends.first == index || ends.second == index ? cut : relay->cut;
    }
    rule.Excuse(members[index]->name,
                cut ? instant::max() : timer_service::now() + testing::crash_rule::kTouch);
  }
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_GATEWAY_CRASHING_FLEET_H_
