// Ordinary least squares with standard errors. Rejects samples that do not determine all slopes. Pure
// arithmetic.
#pragma once

#include <string>
#include <variant>
#include <vector>

namespace lynxgrade::capacity {

struct Sample {
  std::vector<double> x;  // one value per term; the constant is a term with the value 1
  double y = 0;
};

struct Fit {
  std::vector<double> slopes;                   // one per term
  std::vector<double> errors;                   // standard error of each slope
  std::vector<std::vector<double>> covariance;  // of the slopes
  double residual = 0;                          // standard deviation of the residuals
  std::size_t samples = 0;

  double At(const std::vector<double>& x) const;
  // Standard error of the mean at x; it grows with the distance from the samples.
  double ErrorAt(const std::vector<double>& x) const;
};

// Fits by Householder reflections. Returns an error message if there are not more samples than terms, or if
// less than 2 % of a term's length is independent of the terms before it: its slope would be fitted to noise.
std::variant<Fit, std::string> LeastSquares(const std::vector<std::string>& terms,
                                            const std::vector<Sample>& samples);

}  // namespace lynxgrade::capacity
