#include "capacity/fit.h"

#include <cmath>

namespace lynxgrade::capacity {
namespace {

// Minimum sine of the angle between a term's values and the span of the terms before it. Below it the slope
// would be fitted to noise.
constexpr double kMinIndependenceSine = 0.02;

std::string JoinNames(const std::vector<std::string>& names, std::size_t count) {
  std::string text;
  for (std::size_t i = 0; i < count; ++i) text += (i == 0 ? "" : i + 1 == count ? " and " : ", ") + names[i];
  return text;
}

}  // namespace

double Fit::At(const std::vector<double>& x) const {
  double sum = 0;
  for (std::size_t i = 0; i < slopes.size(); ++i) sum += slopes[i] * x[i];
  return sum;
}

double Fit::ErrorAt(const std::vector<double>& x) const {
  double variance = 0;
  for (std::size_t i = 0; i < x.size(); ++i) {
    for (std::size_t j = 0; j < x.size(); ++j) variance += x[i] * covariance[i][j] * x[j];
  }
  return std::sqrt(std::max(0.0, variance));
}

std::variant<Fit, std::string> LeastSquares(const std::vector<std::string>& terms,
                                            const std::vector<Sample>& samples) {
  const std::size_t rows = samples.size(), columns = terms.size();
  if (rows < columns + 1) {
    return std::to_string(rows) + (rows == 1 ? " record" : " records") + " for " + std::to_string(columns) +
           (columns == 1 ? " slope" : " slopes") + ": one more than slopes is needed at least";
  }
  // Columns are normalized, so that one threshold of independence suits all units.
  std::vector<std::vector<double>> a(columns, std::vector<double>(rows));
  std::vector<double> length(columns, 0), y(rows);
  for (std::size_t i = 0; i < rows; ++i) {
    y[i] = samples[i].y;
    for (std::size_t j = 0; j < columns; ++j) a[j][i] = samples[i].x[j];
  }
  for (std::size_t j = 0; j < columns; ++j) {
    for (const double value : a[j]) length[j] += value * value;
    length[j] = std::sqrt(length[j]);
    if (length[j] == 0) return "no record has " + terms[j];
    for (double& value : a[j]) value /= length[j];
  }
  std::vector<double> diagonal(columns);
  for (std::size_t k = 0; k < columns; ++k) {
    double norm = 0;
    for (std::size_t i = k; i < rows; ++i) norm += a[k][i] * a[k][i];
    norm = std::sqrt(norm);
    if (norm < kMinIndependenceSine) {
      return terms[k] + " cannot be told from " + JoinNames(terms, k) + ": they grew together in all " +
             std::to_string(rows) + " records";
    }
    diagonal[k] = a[k][k] > 0 ? -norm : norm;
    a[k][k] -= diagonal[k];
    double square = 0;
    for (std::size_t i = k; i < rows; ++i) square += a[k][i] * a[k][i];
    const auto reflect = [&](std::vector<double>& column) {
      double dot = 0;
      for (std::size_t i = k; i < rows; ++i) dot += a[k][i] * column[i];
      for (std::size_t i = k; i < rows; ++i) column[i] -= 2 * dot / square * a[k][i];
    };
    for (std::size_t j = k + 1; j < columns; ++j) reflect(a[j]);
    reflect(y);
  }
  // The upper triangular factor is in a[j][i], i < j; it is inverted column by column.
  std::vector<std::vector<double>> inverse(columns, std::vector<double>(columns, 0));
  for (std::size_t c = 0; c < columns; ++c) {
    for (std::size_t k = c + 1; k-- > 0;) {
      double sum = k == c ? 1 : 0;
      for (std::size_t j = k + 1; j <= c; ++j) sum -= a[j][k] * inverse[j][c];
      inverse[k][c] = sum / diagonal[k];
    }
  }
  Fit fit;
  fit.samples = rows;
  double residual_squares = 0;
  for (std::size_t i = columns; i < rows; ++i) residual_squares += y[i] * y[i];
  const double variance = residual_squares / static_cast<double>(rows - columns);
  fit.residual = std::sqrt(variance);
  fit.covariance.assign(columns, std::vector<double>(columns, 0));
  for (std::size_t i = 0; i < columns; ++i) {
    double slope = 0;
    for (std::size_t j = i; j < columns; ++j) slope += inverse[i][j] * y[j];
    fit.slopes.push_back(slope / length[i]);
    for (std::size_t j = 0; j < columns; ++j) {
      double sum = 0;
      for (std::size_t c = std::max(i, j); c < columns; ++c) sum += inverse[i][c] * inverse[j][c];
      fit.covariance[i][j] = variance * sum / (length[i] * length[j]);
    }
    fit.errors.push_back(std::sqrt(std::max(0.0, fit.covariance[i][i])));
  }
  return fit;
}

}  // namespace lynxgrade::capacity
