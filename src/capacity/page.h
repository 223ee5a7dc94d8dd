// Writes docs/CAPACITY.md and the plot beside it: the same bytes from the same target and records, so that a
// test can tell whether page and figures have parted. Owns the page's words; no files, no clock.
#pragma once

#include <string>
#include <variant>

#include "capacity/model.h"

namespace lynxgrade::capacity {

struct PageNames {
  std::string target;     // the target file, as the page calls it
  std::string plot;       // the folder of the plot, from the project's root
  std::string plot_link;  // the same, from the page
};

struct Page {
  std::string text;  // Markdown
  std::string data;  // curves.dat: a block a row, parts of its budget over the number of poolers
  std::string plot;  // curves.gp, to be run from the project's root
};

// `words`: the page with {{part}} where a table or a figure belongs, each part once. Or one plain sentence.
std::variant<Page, std::string> Render(const Target& target, const Model& model, const std::string& words,
                                       const PageNames& names);

// Four digits, thousands set apart.
std::string Figure(double value);

}  // namespace lynxgrade::capacity
