// Embeds the stream assembler: late, duplicate and out-of-order pieces give one complete answer.
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
  // Attempt 1 was abandoned and its piece arrives late. The pieces at offsets 1 and 2 arrive in
  // reverse order.
  const arrival arrivals[] = {
      {2, 0, "three "}, {1, 1, "old "}, {2, 2, "crates"}, {2, 1, "loaned "}, {2, 1, "loaned "}};

  jacinthspool::stream_assembler answer({.attempt = 2});
  std::string complete;
  for (const arrival& received : arrivals) {
    for (const std::string& text : answer.Take(received.attempt, received.offset, received.text)) {
      complete += text;
    }
  }
  std::cout << complete << '\n';
  return complete == "three loaned crates" ? EXIT_SUCCESS : EXIT_FAILURE;
}
