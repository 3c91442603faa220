#ifndef JACINTHSPOOL_CLI_EXIT_CODE_H_
#define JACINTHSPOOL_CLI_EXIT_CODE_H_

namespace jacinthspool {

/// \brief Exit codes of the program.
enum exit_code : int {
  kExitOk = 0,
  kExitFailed = 1,       ///< There were findings, or the requested information was not available.
  kExitUsage = 2,        ///< Unknown command or option, missing argument.
  kExitCannotStart = 3,  ///< Faulty settings, unreadable file, address in use.
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_EXIT_CODE_H_
