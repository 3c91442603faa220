#include <string>
#include <vector>

#include "src/cli/command_line.h"

int main(int argc, char** argv) {
  const std::vector<std::string> arguments(argv + (argc > 0 ? 1 : 0), argv + argc);
  return jacinthspool::RunCommandLine(arguments);
}
