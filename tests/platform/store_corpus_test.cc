#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include "tests/fuzz_store/store_check.h"

namespace jacinthspool::testing {
namespace {

TEST_CASE("no bytes of the store's corpus break a decoder or are accepted out of range") {
  std::size_t count = 0;
  for (const auto& each : std::filesystem::directory_iterator(JACINTHSPOOL_STORE_CORPUS)) {
    std::ifstream file(each.path(), std::ios::binary);
    const std::string bytes{std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
    CAPTURE(each.path().string());
    CHECK(CheckStoreBytes(bytes) == "");
    ++count;
  }
  CHECK(count >= 20);
}

}  // namespace
}  // namespace jacinthspool::testing
