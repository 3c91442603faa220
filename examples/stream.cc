// Embeds the stream assembler: late, repeated and early pieces give one whole answer.
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <string>

#include "jacinthspool/jacinthspool.h"

int main() {
  struct arrival {
    jacinthspool::attempt_number attempt;
    std::uint64_t offset;
    const char* text;
  };
  // Attempt 1 was given up; its piece comes late. Offsets 1 and 2 change places.
  const arrival arrivals[] = {
      {2, 0, "three "}, {1, 1, "old "}, {2, 2, "crates"}, {2, 1, "loaned "}, {2, 1, "loaned "}};

  jacinthspool::stream_assembler answer({.attempt = 2});
  std::string whole;
  for (const arrival& one : arrivals) {
    for (const std::string& text : answer.Take(one.attempt, one.offset, one.text)) {
      whole += text;
    }
  }
  std::cout << whole << '\n';
  return whole == "three loaned crates" ? EXIT_SUCCESS : EXIT_FAILURE;
}
