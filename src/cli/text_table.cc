#include "src/cli/text_table.h"

#include <algorithm>
#include <ostream>

namespace jacinthspool {
namespace {

constexpr std::size_t kGap = 2;

std::vector<std::size_t> WidthsOf(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const std::vector<std::string>& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) {
      widths[i] = std::max(widths[i], row[i].size());
    }
  }
  return widths;
}

}  // namespace

void text_table::Print(std::ostream& out) const {
  const std::vector<std::size_t> widths = WidthsOf(rows_);
  for (const std::vector<std::string>& row : rows_) {
    for (std::size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << row[i] << (last ? std::string() : std::string(widths[i] - row[i].size() + kGap, ' '));
    }
    out << '\n';
  }
}

}  // namespace jacinthspool
