#pragma once

#include <ostream>
#include <string>
#include <vector>

namespace teaseljunction {

/// Prints rows with aligned columns. The first row is the heading.
void PrintTable(const std::vector<std::vector<std::string>>& rows, std::ostream& out);

}  // namespace teaseljunction
