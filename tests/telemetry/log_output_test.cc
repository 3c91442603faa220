#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <chrono>
#include <string>

#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

/// Redirects standard output to a pipe that only `Read` reads.
class stalled_reader {
 public:
  stalled_reader() : saved_(dup(STDOUT_FILENO)) {
    int ends[2];
    REQUIRE(pipe(ends) == 0);
    reader_ = ends[0];
    fcntl(reader_, F_SETFL, O_NONBLOCK);
    dup2(ends[1], STDOUT_FILENO);
    close(ends[1]);
  }
  ~stalled_reader() {
    dup2(saved_, STDOUT_FILENO);
    close(saved_);
    close(reader_);
  }
  stalled_reader(const stalled_reader&) = delete;
  stalled_reader& operator=(const stalled_reader&) = delete;

  std::string Read() const {
    std::string text;
    char bytes[4096];
    for (ssize_t got = read(reader_, bytes, sizeof(bytes)); got > 0;
         got = read(reader_, bytes, sizeof(bytes))) {
      text.append(bytes, static_cast<std::size_t>(got));
    }
    return text;
  }

 private:
  int saved_;
  int reader_ = -1;
};

TEST_CASE("a log reader that stops reading does not block the process") {
  OpenLog({.process = "p", .file = ""});
  const auto start = std::chrono::steady_clock::now();
  std::string text;
  {
    const stalled_reader reader;
    const std::string padding(1000, 'x');
    constexpr int kLines = 2000;
    for (int i = 0; i < kLines; ++i) {
      Log(log_level::kInfo, "line", {{"number", i}, {"padding", padding}});
    }
    // The next lines flush the buffered ones and report the number of dropped lines.
    for (int i = 0; i < 20; ++i) {
      text += reader.Read();
      Log(log_level::kInfo, "after", {});
    }
    text += reader.Read();
  }
  CHECK(std::chrono::steady_clock::now() - start < std::chrono::seconds(5));
  CHECK(text.find("\"number\":0,") != std::string::npos);
  CHECK(text.find("\"number\":1999,") == std::string::npos);
  CHECK(text.find("lines_dropped") != std::string::npos);
}

}  // namespace
}  // namespace jacinthspool
