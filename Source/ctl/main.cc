#include <csignal>
#include <iostream>
#include <string>
#include <vector>

#include "ctl/command_line.h"

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  const std::vector<std::string> args(argv + 1, argv + argc);
  return static_cast<int>(
      comfrey::RunCommandLine(args, {std::cout, std::cerr}));
}
