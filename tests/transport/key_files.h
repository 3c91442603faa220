#ifndef JACINTHSPOOL_TESTS_TRANSPORT_KEY_FILES_H_
#define JACINTHSPOOL_TESTS_TRANSPORT_KEY_FILES_H_

#include <doctest/doctest.h>
#include <unistd.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <string>

#include "src/transport/key_ring.h"

namespace jacinthspool {

/// \brief A temporary file, removed by the destructor.
class temporary_file {
 public:
  explicit temporary_file(const std::string& text) : path_(NewPath()) { Write(text); }
  ~temporary_file() { std::remove(path_.c_str()); }
  temporary_file(const temporary_file&) = delete;
  temporary_file& operator=(const temporary_file&) = delete;

  void Write(const std::string& text) const { std::ofstream(path_) << text; }
  [[nodiscard]] std::string Text() const {
    std::ifstream file(path_);
    return {std::istreambuf_iterator<char>(file), {}};
  }
  [[nodiscard]] const std::string& path() const { return path_; }

 private:
  static std::string NewPath() {
    std::string path = "/tmp/jacinthspool-test-XXXXXX";
    close(mkstemp(path.data()));
    return path;
  }
  std::string path_;
};

/// \returns A key ring loaded from a file with this text.
inline key_ring RingOf(const std::string& text) {
  const temporary_file file(text);
  key_ring ring;
  std::string error;
  REQUIRE(ring.Load(file.path(), error));
  return ring;
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_TESTS_TRANSPORT_KEY_FILES_H_
