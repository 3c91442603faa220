#ifndef JACINTHSPOOL_CLI_CHECK_COMMAND_H_
#define JACINTHSPOOL_CLI_CHECK_COMMAND_H_

#include <string>
#include <vector>

namespace jacinthspool {

/// \brief `check FILE...`: prints each finding of the documents.
int RunCheck(const std::vector<std::string>& arguments);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_CHECK_COMMAND_H_
