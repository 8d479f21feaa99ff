#include "configuration/validation_error.hpp"

namespace finchstile::configuration {
namespace {

constexpr std::size_t kMaxDescribedErrors = 3;

}  // namespace

std::string describe(const ValidationError& error) {
  const std::string field = error.field.empty() ? "" : "." + error.field;
  return error.key + field + ": " + error.message;
}

std::string describe(const std::vector<ValidationError>& errors) {
  std::string line;
  for (std::size_t i = 0; i < errors.size() && i < kMaxDescribedErrors; ++i) {
    if (i > 0) line += "; ";
    line += describe(errors[i]);
  }
  if (errors.size() > kMaxDescribedErrors)
    line += "; and " + std::to_string(errors.size() - kMaxDescribedErrors) + " more";
  return line;
}

}  // namespace finchstile::configuration
