#include "capacity_command.h"

#include <cstdio>
#include <filesystem>
#include <fstream>

#include "capacity/files.h"
#include "capacity/page.h"

namespace lynxgrade::testbed {
namespace {

int ReportError(const std::string& message) {
  std::fprintf(stderr, "lynxgrade-testbed: %s\n", message.c_str());
  return 2;
}

}  // namespace

int WriteCapacity(const CapacityOptions& options) {
  const auto target = capacity::LoadTarget(options.target);
  if (const auto* error = std::get_if<std::string>(&target)) return ReportError(*error);
  auto records = capacity::LoadMeasurements(
      options.measurements.empty() ? capacity::ListMeasurementFiles(options.plot) : options.measurements);
  if (const auto* error = std::get_if<std::string>(&records)) return ReportError(*error);
  const std::string template_path = options.plot + "/page.md.in";
  const auto page_template = capacity::LoadPageTemplate(template_path);
  if (const auto* error = std::get_if<capacity::LoadError>(&page_template))
    return ReportError(error->message);
  const capacity::Model model(std::get<std::vector<capacity::Record>>(std::move(records)));
  const auto link = std::filesystem::path(options.plot)
                        .lexically_proximate(std::filesystem::path(options.out).parent_path());
  const auto rendered =
      capacity::RenderPage(std::get<capacity::Target>(target), model, std::get<std::string>(page_template),
                           {options.target, options.plot, link.generic_string()});
  if (const auto* error = std::get_if<std::string>(&rendered))
    return ReportError(template_path + ": " + *error);
  const auto& page = std::get<capacity::Page>(rendered);
  const std::pair<std::string, const std::string*> files[] = {{options.out, &page.text},
                                                              {options.plot + "/curves.dat", &page.data},
                                                              {options.plot + "/curves.gp", &page.plot}};
  for (const auto& [path, text] : files) {
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << *text;
    file.close();
    if (!file) return ReportError(path + " cannot be written");
  }
  std::printf("%s: %zu rows from %zu records; the plot: gnuplot %s/curves.gp\n", options.out.c_str(),
              model.rows().size(), model.records().size(), options.plot.c_str());
  return 0;
}

}  // namespace lynxgrade::testbed
