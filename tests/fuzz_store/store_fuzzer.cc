#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>

#include "tests/fuzz_store/store_check.h"

// NOLINTNEXTLINE(readability-identifier-naming): the name that libFuzzer calls.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string fault =
      jacinthspool::testing::CheckStoreBytes({reinterpret_cast<const char*>(data), size});
  if (!fault.empty()) {
    std::fprintf(stderr, "%s\n", fault.c_str());
    std::abort();
  }
  return 0;
}
