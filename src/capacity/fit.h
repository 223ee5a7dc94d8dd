// Least squares: the slopes that a row's measurements show, their errors, and a refusal where they show none.
// Pure arithmetic.
#pragma once

#include <string>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

struct Sample {
  std::vector<double> x;  // one value a term; the constant is a term whose value is 1
  double y = 0;
};

struct Fit {
  std::vector<double> slopes;                   // one a term
  std::vector<double> errors;                   // of each, one standard error
  std::vector<std::vector<double>> covariance;  // of the slopes
  double residual = 0;                          // standard deviation of what the slopes leave unexplained
  std::size_t samples = 0;

  double At(const std::vector<double>& x) const;
  // One standard error of the mean at x; grows with the distance from what was measured.
  double ErrorAt(const std::vector<double>& x) const;
};

// Ordinary least squares by Householder's reflections. A sentence and no fit where there are fewer samples
// than terms and one, or where a term can be told from the others by less than a fiftieth of its length: such
// slopes would be the noise's.
std::variant<Fit, std::string> LeastSquares(const std::vector<std::string>& terms,
                                            const std::vector<Sample>& samples);

}  // namespace lynxgrade::capacity
