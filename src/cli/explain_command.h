#ifndef JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_
#define JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief `explain LOGFILE REQUEST-ID`: tells what was decided about a request.
int RunExplain(const std::vector<std::string>& arguments);

/// \brief Writes the decisions and other log lines of a request, in the order of their time.
/// \param log JSON lines of one or more processes.
/// \returns The number of lines that tell of the request.
std::size_t ExplainRequest(std::istream& log, request_id request, std::ostream& out);

/// \brief The same for a request of a gateway, whose id is its caller's.
std::size_t ExplainById(std::istream& log, const std::string& request, std::ostream& out);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_
