#include <doctest/doctest.h>
#include <fcntl.h>

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

constexpr const char* kId = "X-Request-Id: {id}\r\n";
constexpr const char* kEarlierId = "X-Request-Id: earlier\r\n";
constexpr const char* kNoId = "";
constexpr const char* kNotRun = "X-Not-Run: 1\r\n";
constexpr const char* kStamp = "X-Server-Stamp: stamp\r\n";
constexpr const char* kNoBody = "Content-Length: 0\r\n";

std::string Reply(int status, const std::string& headers, const std::string& body = "") {
  return "HTTP/1.1 " + std::to_string(status) + " Reply\r\n" + headers + "\r\n" + body;
}

std::string Served(const std::string& by) {
  return Reply(
      200, std::string(kId) + kStamp + "Content-Length: " + std::to_string(by.size()) + "\r\n", by);
}

std::string WithId(std::string bytes, const std::string& id) {
  for (std::size_t at = bytes.find("{id}"); at != std::string::npos; at = bytes.find("{id}")) {
    bytes.replace(at, 4, id);
  }
  return bytes;
}

/// \returns The value of a header of the message that begins the bytes.
std::string ValueOf(const std::string& message, const std::string& name) {
  const std::size_t at = message.find(name + ": ");
  const std::size_t begin = at + name.size() + 2;
  return at == std::string::npos ? "" : message.substr(begin, message.find("\r\n", begin) - begin);
}

enum class next_move { kKeep, kServe, kClose, kReset };

/// \brief A backend server that plays bytes of the test on each of its connections.
struct raw_backend {
  struct connection {
    raw_socket socket;
    std::string received = {};
  };
  /// \brief What the server does with a request.
  struct play {
    std::string bytes = {};
    next_move then = next_move::kKeep;
  };

  fake_platform& platform;
  std::string name;
  raw_socket listener = raw_socket::Listen();
  std::function<play(const std::string& id)> script = {};
  std::vector<std::string> requests = {};  ///< Ids of the requests that were read whole.
  std::vector<std::string> runs = {};      ///< Ids of the requests that were run.
  std::size_t connections_accepted = 0;
  std::vector<connection> connections = {};
  timer_subscription poll;

  raw_backend(fake_platform& the_platform, std::string the_name)
      : platform(the_platform), name(std::move(the_name)) {
    fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK);
    poll = platform.timers.Every(milliseconds(1), [this](instant /*now*/) { Step(); });
  }

  void Publish(const std::string& id) const {
    platform.router.OnBackendPut({.id = id,
                                  .service = "plain",
                                  .address = "127.0.0.1:" + std::to_string(listener.port()),
                                  .data_centre = "dc",
                                  .slots = 4,
                                  .published = ++platform.revision});
  }

  void Step() {
    if (raw_socket next = listener.Accept(); next.is_open()) {
      ++connections_accepted;
      connections.push_back({.socket = std::move(next)});
    }
    std::erase_if(connections, [this](connection& each) {
      const bool open = each.socket.Read(each.received);
      return !open || !Answer(each);
    });
  }

  /// \returns false once the connection is to be dropped.
  bool Answer(connection& on) {
    const std::size_t head_end = on.received.find("\r\n\r\n");
    if (head_end == std::string::npos) {
      return true;
    }
    const std::size_t whole = head_end + 4 + std::stoul(ValueOf(on.received, "Content-Length"));
    if (on.received.size() < whole) {
      return true;
    }
    const std::string id = ValueOf(on.received, "X-Request-Id");
    on.received.erase(0, whole);
    requests.push_back(id);
    const play next = script ? script(id) : play{.then = next_move::kServe};
    on.socket.Write(WithId(next.bytes, id));
    if (next.then == next_move::kServe) {
      runs.push_back(id);
      on.socket.Write(WithId(Served(name), id));
    } else if (next.then == next_move::kReset) {
      on.socket.Reset();
    }
    return next.then == next_move::kKeep || next.then == next_move::kServe;
  }
};

/// \brief Sends one request to the gateway.
struct raw_caller : fake_caller {
  raw_caller(fake_platform& the_platform, const std::string& id, const std::string& body = "body")
      : fake_caller(the_platform) {
    const std::string bytes =
        "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: " + id +
        "\r\nX-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" +
        body;
    for (std::size_t sent = 0; sent < bytes.size(); sent += kPiece) {
      socket.Write({bytes.data() + sent, std::min(kPiece, bytes.size() - sent)});
      const instant at = timer_service::now();
      if (bytes.size() > kPiece) {
        Wait([&] { return timer_service::now() - at > milliseconds(1); });
      }
    }
  }
  bool IsAnswered() {
    return Wait([&] { return !open || received.find("\r\n\r\n") != std::string::npos; });
  }
  [[nodiscard]] bool Got(int status) const {
    return received.starts_with("HTTP/1.1 " + std::to_string(status));
  }
  /// \returns true for an answer that promises its caller that the request has not run.
  [[nodiscard]] bool GotPromise() const { return Got(503) || Got(429) || Got(421) || Got(408); }
  [[nodiscard]] bool GotBodyOf(const raw_backend& server) const {
    return Got(200) && received.ends_with("\r\n\r\n" + server.name);
  }

  static constexpr std::size_t kPiece = 64U << 10U;
};

enum class belief { kBelieved, kDoubted };
enum class carrier { kNewConnection, kKeptConnection };

/// \brief A reply that claims, or seems to claim, that the request has not run.
struct claim {
  std::string name;
  carrier on = carrier::kNewConnection;
  std::string bytes;
  next_move then = next_move::kKeep;
  belief right = belief::kDoubted;
};

void AddBoth(std::vector<claim>& claims, const claim& added) {
  claims.push_back(added);
  claims.push_back(added);
  claims.back().on = carrier::kKeptConnection;
}

/// Not believed: the request may be run afterwards, or its connection end without another reply.
void AddUnbelieved(std::vector<claim>& claims, const claim& added, bool new_connections) {
  for (const next_move then : {next_move::kServe, next_move::kClose, next_move::kReset}) {
    claim each = added;
    each.then = then;
    each.right = belief::kDoubted;
    each.on = carrier::kKeptConnection;
    claims.push_back(each);
    if (new_connections) {
      each.on = carrier::kNewConnection;
      claims.push_back(each);
    }
  }
}

std::vector<claim> ClaimsByStatusAndId() {
  std::vector<claim> claims;
  for (const char* stamp : {kStamp, ""}) {
    const std::string end = std::string(stamp) + kNoBody;
    const std::string stamped = *stamp != '\0' ? " with a stamp" : " without a stamp";
    for (const int status : {503, 429, 421, 400}) {
      const std::string text = std::to_string(status) + " with X-Not-Run" + stamped;
      AddBoth(claims, {.name = text + " and this id",
                       .bytes = Reply(status, std::string(kId) + kNotRun + end),
                       .right = belief::kBelieved});
      claims.push_back({.name = text + " and no id",
                        .bytes = Reply(status, std::string(kNoId) + kNotRun + end),
                        .right = belief::kBelieved});
      AddUnbelieved(
          claims,
          {.name = text + " and no id", .bytes = Reply(status, std::string(kNoId) + kNotRun + end)},
          false);
      AddUnbelieved(claims,
                    {.name = text + " and another id",
                     .bytes = Reply(status, std::string(kEarlierId) + kNotRun + end)},
                    true);
    }
    AddBoth(claims, {.name = "421" + stamped + " and this id",
                     .bytes = Reply(421, kId + end),
                     .right = belief::kBelieved});
    claims.push_back({.name = "421" + stamped + " and no id",
                      .bytes = Reply(421, kNoId + end),
                      .right = belief::kBelieved});
    AddUnbelieved(
        claims, {.name = "421" + stamped + " and no id", .bytes = Reply(421, kNoId + end)}, false);
    AddUnbelieved(
        claims,
        {.name = "421" + stamped + " and another id", .bytes = Reply(421, kEarlierId + end)}, true);
    for (const int status : {503, 429, 408}) {
      AddBoth(claims, {.name = std::to_string(status) + stamped + " and this id, no X-Not-Run",
                       .bytes = Reply(status, kId + end)});
    }
  }
  return claims;
}

std::vector<claim> ClaimsBesideARun() {
  std::vector<claim> claims;
  for (const char* stamp : {kStamp, ""}) {
    for (const int status : {200, 204, 302, 500, 502, 504}) {
      const std::string length = status == 204 ? "" : kNoBody;
      AddBoth(claims,
              {.name = std::to_string(status) + " with X-Not-Run, this id and stamp: " + stamp,
               .bytes = Reply(status, std::string(kId) + kNotRun + stamp + length)});
    }
  }
  return claims;
}

std::vector<claim> ClaimsByForm() {
  std::vector<claim> claims;
  const std::string refusal = std::string(kId) + kNotRun + kStamp;
  for (const next_move then : {next_move::kClose, next_move::kReset}) {
    AddBoth(claims, {.name = "a refusal cut in its head",
                     .bytes = "HTTP/1.1 503 Reply\r\n" + refusal,
                     .then = then});
    AddBoth(claims, {.name = "a refusal cut before its body",
                     .bytes = Reply(503, refusal + "Content-Length: 8\r\n"),
                     .then = then});
    AddBoth(claims, {.name = "a refusal cut in its body",
                     .bytes = Reply(503, refusal + "Content-Length: 8\r\n", "full"),
                     .then = then});
    AddBoth(claims,
            {.name = "a refusal cut between its chunks",
             .bytes = Reply(503, refusal + "Transfer-Encoding: chunked\r\n", "4\r\nfull\r\n"),
             .then = then});
  }
  AddBoth(claims, {.name = "a refusal that ends with its connection",
                   .bytes = Reply(503, refusal + "Connection: close\r\n", "full"),
                   .then = next_move::kClose,
                   .right = belief::kBelieved});
  AddBoth(claims, {.name = "a refusal that should end with its connection and is reset",
                   .bytes = Reply(503, refusal + "Connection: close\r\n", "full"),
                   .then = next_move::kReset});
  const std::string hints = "HTTP/1.1 103 Early Hints\r\n";
  for (const char* id : {kId, kNoId}) {
    AddUnbelieved(claims,
                  {.name = "an interim reply with X-Not-Run",
                   .bytes = hints + id + kNotRun + kStamp + "\r\n"},
                  true);
  }
  AddBoth(claims, {.name = "a refusal after an interim reply",
                   .bytes = hints + "\r\n" + Reply(503, refusal + kNoBody),
                   .right = belief::kBelieved});
  claims.push_back({.name = "a refusal without an id after an interim reply",
                    .bytes = hints + "\r\n" + Reply(503, std::string(kNotRun) + kNoBody),
                    .right = belief::kBelieved});
  AddBoth(claims, {.name = "a refusal and then a success for one request",
                   .bytes = Reply(503, refusal + kNoBody) + Served("extra"),
                   .right = belief::kBelieved});
  AddBoth(claims, {.name = "a success and then a refusal for one request",
                   .bytes = Served("served") + Reply(503, refusal + kNoBody)});
  AddUnbelieved(claims,
                {.name = "two copies of an earlier refusal",
                 .bytes = Reply(503, std::string(kEarlierId) + kNotRun + kNoBody) +
                          Reply(503, std::string(kEarlierId) + kNotRun + kNoBody)},
                true);
  AddBoth(claims, {.name = "this request's refusal after a copy of an earlier one",
                   .bytes = Reply(503, std::string(kEarlierId) + kNotRun + kNoBody) +
                            Reply(503, refusal + kNoBody),
                   .right = belief::kBelieved});
  return claims;
}

/// \brief A server that plays one reply, and a second server, listed from then on, that serves.
struct claim_trial {
  fake_platform platform;
  raw_backend first{platform, "first"};
  raw_backend second{platform, "second"};

  explicit claim_trial(const claim& played) {
    platform.Configure();
    first.Publish("i-first");
    if (played.on == carrier::kKeptConnection) {
      raw_caller earlier(platform, "earlier");
      REQUIRE(earlier.IsAnswered());
      REQUIRE(earlier.GotBodyOf(first));
    }
    first.script = [this, &played](const std::string& /*id*/) {
      second.Publish("i-second");
      return raw_backend::play{.bytes = played.bytes, .then = played.then};
    };
    first.requests.clear();
  }
};

void CheckClaims(const std::vector<claim>& claims) {
  for (const claim& each : claims) {
    const bool kept = each.on == carrier::kKeptConnection;
    CAPTURE(each.name);
    CAPTURE(kept);
    CAPTURE(static_cast<int>(each.then));
    claim_trial trial(each);
    raw_caller caller(trial.platform, "present");
    CHECK(caller.IsAnswered());
    CAPTURE(caller.received);
    CHECK(trial.first.connections_accepted == 1);
    CHECK(trial.first.requests.size() == 1);
    if (each.right == belief::kBelieved) {
      CHECK(trial.second.requests.size() == 1);
      CHECK(caller.GotBodyOf(trial.second));
    } else {
      CHECK(trial.second.requests.empty());
      CHECK_FALSE(caller.GotPromise());
      if (each.then == next_move::kServe) {
        CHECK(caller.GotBodyOf(trial.first));
      }
    }
  }
}

TEST_CASE("a reply that claims that a request has not run is believed by its status and id") {
  CheckClaims(ClaimsByStatusAndId());
}

TEST_CASE("a reply that claims that a request has not run is believed by its form") {
  CheckClaims(ClaimsByForm());
}

TEST_CASE("a status that tells of a run is not believed to have run nothing") {
  CheckClaims(ClaimsBesideARun());
}

TEST_CASE("a copy of a refusal is not believed when its server is listed under a second name") {
  fake_platform platform;
  platform.Configure();
  raw_backend reused(platform, "reused");
  raw_backend other(platform, "other");
  const std::string wrong = Reply(421, std::string(kId) + kNotRun + kNoBody);
  // The address is still listed for the server before; the one that has it now refuses once.
  reused.script = [&](const std::string& /*id*/) {
    if (reused.requests.size() == 1) {
      reused.Publish("i-now");
      return raw_backend::play{.bytes = wrong};
    }
    other.Publish("i-other");
    const bool on_same_connection = reused.connections_accepted == 1;
    return raw_backend::play{.bytes = on_same_connection ? wrong : "", .then = next_move::kServe};
  };
  reused.Publish("i-before");
  raw_caller caller(platform, "present");
  CHECK(caller.IsAnswered());
  CHECK(reused.requests.size() == 2);
  CHECK(reused.runs.size() + other.runs.size() == 1);
  CHECK(caller.GotBodyOf(reused));
}

TEST_CASE("a refusal that comes before the body is read") {
  constexpr std::size_t kBodyBytes = 4U << 20U;
  constexpr int kReceiveBuffer = 4096;
  fake_platform platform;
  platform.Configure(seconds(20));
  raw_socket listener = raw_socket::Listen();
  fcntl(listener.descriptor(), F_SETFL, O_NONBLOCK);
  setsockopt(listener.descriptor(), SOL_SOCKET, SO_RCVBUF, &kReceiveBuffer, sizeof(kReceiveBuffer));
  raw_backend second(platform, "second");
  platform.router.OnBackendPut({.id = "i-early",
                                .service = "plain",
                                .address = "127.0.0.1:" + std::to_string(listener.port()),
                                .data_centre = "dc",
                                .slots = 4,
                                .published = ++platform.revision});
  std::string refusal;
  bool believed = false;
  SUBCASE("is believed and the rest of the body is not sent") {
    refusal = Reply(503, std::string(kId) + kNotRun + kStamp + kNoBody);
    believed = true;
  }
  SUBCASE("is not believed without X-Not-Run") {
    refusal = Reply(503, std::string(kId) + kStamp + kNoBody);
  }
  raw_socket early(-1);
  std::string read;
  bool refused = false;
  bool ended = false;
  const auto poll = platform.timers.Every(milliseconds(1), [&](instant /*now*/) {
    if (!early.is_open()) {
      early = listener.Accept();
    } else if (!refused) {
      early.Read(read);
      if (read.find("\r\n\r\n") != std::string::npos) {
        second.Publish("i-second");
        early.Write(WithId(refusal, "present"));
        refused = true;
      }
    } else if (second.requests.size() == 1 || !believed) {
      // It reads on after the refusal.
      for (int i = 0; i < 64 && !ended; ++i) {
        ended = !early.Read(read);
      }
    }
  });
  raw_caller caller(platform, "present", std::string(kBodyBytes, 'b'));
  CHECK(caller.IsAnswered());
  CHECK(caller.Wait([&] { return ended; }));
  CHECK(read.size() < kBodyBytes);
  CHECK(second.requests.size() == (believed ? 1 : 0));
  CHECK(caller.GotBodyOf(second) == believed);
  CHECK_FALSE(caller.GotPromise());
}

}  // namespace
}  // namespace jacinthspool
