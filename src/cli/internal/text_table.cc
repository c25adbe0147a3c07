#include "cli/text_table.h"

#include <algorithm>

namespace teaseljunction {
namespace {

constexpr size_t kColumnGap = 2;

}  // namespace

void PrintTable(const std::vector<std::vector<std::string>>& rows, std::ostream& out) {
  std::vector<size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    for (size_t i = 0; i < row.size(); ++i) {
      const bool last = i + 1 == row.size();
      out << row[i] << std::string(last ? 0 : widths[i] - row[i].size() + kColumnGap, ' ');
    }
    out << "\n";
  }
}

}  // namespace teaseljunction
