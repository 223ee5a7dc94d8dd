// `lynxgrade-testbed capacity`: generates docs/CAPACITY.md and its plot from the target and the records of
// runs.
#pragma once

#include <string>
#include <vector>

namespace lynxgrade::testbed {

struct CapacityOptions {
  std::string target = "deploy/targets/two-years.toml";
  std::vector<std::string> measurements;  // empty: measurements*.json in the plot's folder
  std::string out = "docs/CAPACITY.md";
  std::string plot = "docs/capacity";  // folder of the curves and of the page template, page.md.in
};

// Returns 0, or 2 with an error message on standard error: an input file cannot be used and nothing has been
// written, or an output file cannot be written.
int WriteCapacity(const CapacityOptions& options);

}  // namespace lynxgrade::testbed
