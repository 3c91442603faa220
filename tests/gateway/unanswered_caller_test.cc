#include <doctest/doctest.h>
#include <poll.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <string>

#include "tests/gateway/fake_platform.h"

namespace jacinthspool {
namespace {

constexpr const char* kBooking =
    "POST /once/ HTTP/1.1\r\nHost: h\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 4000\r\n"
    "Content-Length: 4\r\n\r\nbody";

/// How a caller's connection ended. A caller may take a request as unread only after a reset.
enum class closing { kInOrder, kReset };

/// A gateway with its server in a process of its own, which the test stops and kills.
class forked_gateway {
 public:
  forked_gateway() {
    REQUIRE(pipe(news_) == 0);
    process_ = fork();
    if (process_ == 0) {
      Serve(news_[1]);
    }
    REQUIRE(read(news_[0], &port_, sizeof(port_)) == sizeof(port_));
  }
  ~forked_gateway() {
    Kill();
    close(news_[0]);
  }
  forked_gateway(const forked_gateway&) = delete;
  forked_gateway& operator=(const forked_gateway&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }
  /// \returns Whether the server receives a request within `time`.
  [[nodiscard]] bool PassesOn(milliseconds time) const {
    pollfd arrived{.fd = news_[0], .events = POLLIN, .revents = 0};
    char byte = 0;
    return poll(&arrived, 1, static_cast<int>(time.count())) == 1 && read(news_[0], &byte, 1) == 1;
  }
  void Stop() const {
    kill(process_, SIGSTOP);
    int status = 0;
    waitpid(process_, &status, WUNTRACED);
  }
  void Kill() {
    if (process_ > 0) {
      kill(process_, SIGKILL);
      waitpid(process_, nullptr, 0);
      process_ = -1;
      // So that the end of the news can be told from their absence.
      close(news_[1]);
    }
  }

 private:
  /// Never answers; writes the port and then a byte for each request to `news`.
  [[noreturn]] static void Serve(int news) {
    fake_platform platform;
    platform.Configure();
    platform.AddBackend("plain").script = [news](const http1_request&, any_answer&) {
      (void)!write(news, "r", 1);
    };
    const std::uint16_t port = platform.edge->port();
    (void)!write(news, &port, sizeof(port));
    platform.loop.Run();
    _exit(0);
  }

  int news_[2] = {-1, -1};
  pid_t process_ = -1;
  std::uint16_t port_ = 0;
};

closing ClosingOf(const raw_socket& caller) {
  char byte = 0;
  const ssize_t length = recv(caller.descriptor(), &byte, 1, 0);
  REQUIRE(length <= 0);
  REQUIRE((length == 0 || errno == ECONNRESET));
  return length == 0 ? closing::kInOrder : closing::kReset;
}

TEST_CASE(
    "a gateway that is killed doesn't let a caller take a request as unread that it passed on") {
  forked_gateway gateway;
  const raw_socket caller = raw_socket::Connect(gateway.port());

  SUBCASE("passed on: closed in order") {
    caller.Write(kBooking);
    REQUIRE(gateway.PassesOn(seconds(10)));
    gateway.Kill();
    CHECK(ClosingOf(caller) == closing::kInOrder);
  }
  SUBCASE("unread: reset and not passed on") {
    gateway.Stop();
    caller.Write(kBooking);
    gateway.Kill();
    CHECK(ClosingOf(caller) == closing::kReset);
    CHECK_FALSE(gateway.PassesOn(milliseconds(0)));
  }
}

TEST_CASE("a booking that was passed on is answered although its caller sends much more at once") {
  fake_platform platform;
  platform.Configure();
  scripted_backend& server = platform.AddBackend("plain");
  fake_caller caller(platform);
  caller.Send("/once/");
  REQUIRE(caller.Wait([&] { return server.requests.size() == 1; }));
  // More than the gateway reads ahead, and less than the kernel's buffers hold beyond that.
  const std::string next(384U << 10U, 'x');
  std::size_t written = 0;
  const instant begun = timer_service::now();
  caller.Wait([&] {
    const ssize_t sent = send(caller.socket.descriptor(), next.data() + written,
                              next.size() - written, MSG_NOSIGNAL | MSG_DONTWAIT);
    written += sent < 0 ? 0 : static_cast<std::size_t>(sent);
    return timer_service::now() - begun > milliseconds(200);
  });
  CHECK(caller.open);
  CHECK(server.callers_gone == 0);
  scripted_backend::Serve(server.requests.front(), *server.answers.front());
  CHECK(caller.Receives("HTTP/1.1 200"));
}

}  // namespace
}  // namespace jacinthspool
