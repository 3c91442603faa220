#ifndef JACINTHSPOOL_CLI_TEXT_TABLE_H_
#define JACINTHSPOOL_CLI_TEXT_TABLE_H_

#include <iosfwd>
#include <string>
#include <vector>

namespace jacinthspool {

/// \brief Rows of text whose columns are aligned when printed.
class text_table {
 public:
  void Add(std::vector<std::string> row) { rows_.push_back(std::move(row)); }
  void Print(std::ostream& out) const;

 private:
  std::vector<std::vector<std::string>> rows_;
};

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_CLI_TEXT_TABLE_H_
