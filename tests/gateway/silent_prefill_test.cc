#include <doctest/doctest.h>

#include <string>
#include <vector>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

constexpr const char* kSizes = "X-Token-Count: 3000,100\r\nX-Length-Hint: 50\r\n";

/// \brief One prefill and two decode engines; the first decode engine to grant one is remembered.
struct staged_engines : fake_platform {
  std::vector<timer_subscription> later;
  std::vector<scripted_backend*> decoders;
  scripted_backend* prefiller = nullptr;
  scripted_backend* first = nullptr;
  bool denies = false;  ///< Decode engines reject reservations.
  int prefills = 0;
  int decodes = 0;
  std::function<void(const http1_request&, any_answer&)> decode = [](const http1_request& request,
                                                                     any_answer& answer) {
    answer.Begin(200, scripted_backend::Genuine(request));
    answer.Send(scripted_backend::Event(1));
    answer.End();
  };

  staged_engines() {
    Configure(seconds(20));
    prefiller = &AddBackend("model", engine_stage::kPrefill);
    for (int i = 0; i < 2; ++i) {
      decoders.push_back(&AddBackend("model", engine_stage::kDecode));
      decoders.back()->script = [this, engine = decoders.back()](const http1_request& request,
                                                                 any_answer& answer) {
        if (request.head.target == "/v1/hold-take") {
          first = first == nullptr ? engine : first;
          answer.Reply(denies ? 503 : 200, {}, denies ? "{}" : R"({"hold":"room1"})");
        } else if (request.head.method == "DELETE") {
          answer.Reply(200, {}, "");
        } else {
          ++decodes;
          decode(request, answer);
        }
      };
    }
  }

  void After(milliseconds wait, std::function<void()> action) {
    later.push_back(timers.After(wait, [action = std::move(action)](instant) { action(); }));
  }
};

bool HasAnswer(fake_caller& caller) {
  return caller.Wait([&] {
    return caller.received.ends_with("0\r\n\r\n") || !caller.open ||
           caller.received.find("Retry-After") != std::string::npos;
  });
}

TEST_CASE("a prefill whose reply ends while a reservation is sought anew is used") {
  staged_engines engines;
  engines.prefiller->script = [&](const http1_request& request, any_answer& answer) {
    answer.Begin(200, scripted_backend::Genuine(request));
    answer.Send(R"({"handle":"kv1","tokens":3000})");
    engines.denies = true;
    engines.Publish(*engines.first, "model", engine_stage::kDecode, true);
    // Its last bytes are no part of the body.
    engines.After(milliseconds(600), [&] { engines.prefiller->answers.back()->End(); });
    engines.After(milliseconds(700), [&] { engines.denies = false; });
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  CHECK(HasAnswer(caller));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(engines.decodes == 1);
}

TEST_CASE("a silent prefill is waited for while no reservation can be had") {
  staged_engines engines;
  engines.prefiller->script = [&](const http1_request& request, any_answer&) {
    ++engines.prefills;
    engines.denies = true;
    engines.Publish(*engines.first, "model", engine_stage::kDecode, true);
    engines.After(milliseconds(1000), [&] { engines.denies = false; });
    engines.After(milliseconds(900), [&engines, headers = scripted_backend::Genuine(request)] {
      engines.prefiller->answers.back()->Reply(200, headers, R"({"handle":"kv1","tokens":3000})");
    });
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  CHECK(HasAnswer(caller));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(engines.prefills == 1);
}

TEST_CASE("a request that moves away from a silent engine does not spend its reservation waiting") {
  staged_engines engines;
  auto next = std::make_shared<forward_configuration>(
      *engines.router.Snapshot({.configuration_after = 0}).configuration);
  next->version = 2;
  for (forward_route& route : next->routes) {
    route.latency_objective = milliseconds(1400);
  }
  engines.router.OnConfiguration(next);
  engines.prefiller->script = [&](const http1_request& request, any_answer& answer) {
    if (++engines.prefills == 1) {
      answer.Reply(200, scripted_backend::Genuine(request), R"({"handle":"kv1","tokens":3000})");
      return;
    }
    // Longer than the life of a reservation.
    engines.denies = true;
    engines.After(milliseconds(1600), [&engines, headers = scripted_backend::Genuine(request)] {
      engines.prefiller->answers.back()->Reply(200, headers, R"({"handle":"kv2","tokens":3000})");
    });
  };
  engines.decode = [&, answered = engines.decode](const http1_request& request,
                                                  any_answer& answer) {
    if (engines.decodes > 1) {
      answered(request, answer);
    }
  };
  fake_caller caller(engines);
  caller.Send("/stream/", kSizes);
  CHECK(HasAnswer(caller));
  CHECK(caller.received.starts_with("HTTP/1.1 200"));
  CHECK(engines.decodes == 2);
}

}  // namespace
}  // namespace jacinthspool
