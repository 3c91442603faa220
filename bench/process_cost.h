#ifndef JACINTHSPOOL_BENCH_PROCESS_COST_H_
#define JACINTHSPOOL_BENCH_PROCESS_COST_H_

#include <sodium.h>
#include <sys/resource.h>
#include <unistd.h>

#include <cstddef>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

#include "jacinthspool/impl/time.h"
#include "src/transport/key_ring.h"

namespace jacinthspool {

/// \returns User and system processor time that this process has used so far.
inline microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto of = [](const timeval& value) {
    return seconds(value.tv_sec) + microseconds(value.tv_usec);
  };
  return of(usage.ru_utime) + of(usage.ru_stime);
}

/// \brief Loads one random key into `keys` through a temporary file.
/// \returns false if the file could not be made, libsodium did not start, or the key was rejected.
inline bool LoadRandomKey(key_ring& keys) {
  std::string path = "/tmp/jacinthspool-bench-key-XXXXXX";
  const int descriptor = mkstemp(path.data());
  if (descriptor < 0 || sodium_init() < 0) {
    return false;
  }
  close(descriptor);
  key_ring::key key{};
  randombytes_buf(key.data(), key.size());
  std::string text(key.size() * 2 + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), key.data(), key.size());
  std::ofstream(path) << text.c_str();
  std::string error;
  const bool loaded = keys.Load(path, error);
  std::remove(path.c_str());
  return loaded;
}

/// \returns Current resident size of this process, in bytes.
inline std::size_t ResidentBytes() {
  std::size_t total_pages = 0;
  std::size_t resident_pages = 0;
  std::ifstream("/proc/self/statm") >> total_pages >> resident_pages;
  return resident_pages * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
}

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_BENCH_PROCESS_COST_H_
