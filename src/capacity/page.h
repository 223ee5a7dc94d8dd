// Renders docs/CAPACITY.md and its plot. The output is deterministic, so that a test can detect a committed
// page that no longer matches the target and the records. Free of I/O and clocks.
#pragma once

#include <string>
#include <variant>

#include "capacity/model.h"

namespace lynxgrade::capacity {

struct PagePaths {
  std::string target;     // the target file as named on the page
  std::string plot;       // the plot's folder, relative to the project root
  std::string plot_link;  // the same, relative to the page
};

struct Page {
  std::string text;  // Markdown
  std::string
      data;  // curves.dat: one block per row, its load as a fraction of its budget by number of poolers
  std::string plot;  // curves.gp, a gnuplot script to run from the project root
};

// `page_template` has a placeholder {{name}} for each table and figure; each must occur exactly once.
// Otherwise an error message is returned.
std::variant<Page, std::string> RenderPage(const Target& target, const Model& model,
                                           const std::string& page_template, const PagePaths& paths);

// Up to four significant digits, with thousands separators.
std::string FormatFigure(double value);

}  // namespace lynxgrade::capacity
