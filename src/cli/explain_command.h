#ifndef JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_
#define JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_

#include <iosfwd>
#include <string>
#include <vector>

#include "jacinthspool/impl/ids.h"

namespace jacinthspool {

/// \brief `explain LOGFILE ID`: prints the decisions about a request, or about the request limit of
/// a backend server.
int RunExplain(const std::vector<std::string>& arguments);

/// \brief Writes the decisions and other log lines of a request, in chronological order.
/// \param log JSON lines of one or more processes.
/// \returns Number of log lines of the request.
std::size_t ExplainRequest(std::istream& log, request_id request, std::ostream& out);

/// \brief The same for a request of a gateway, whose id the caller has set.
std::size_t ExplainById(std::istream& log, const std::string& request, std::ostream& out);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_EXPLAIN_COMMAND_H_
