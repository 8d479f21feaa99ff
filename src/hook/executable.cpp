#include "hook/executable.hpp"

#include <re2/re2.h>

#include "hook/verifier.hpp"

namespace finchstile::hook {
namespace {

constexpr std::size_t kMaxShownPatternBytes = 60;

std::unique_ptr<re2::RE2> compilePattern(const std::string& pattern) {
  re2::RE2::Options options;
  options.set_log_errors(false);
  options.set_max_mem(static_cast<std::int64_t>(kMaxPatternMemoryBytes));
  options.set_encoding(re2::RE2::Options::EncodingLatin1);  // texts are bytes
  auto compiled = std::make_unique<re2::RE2>(pattern, options);
  if (!compiled->ok())
    throw LinkError(
        LinkErrorCode::patternInvalid,
        "the pattern '" + pattern.substr(0, kMaxShownPatternBytes) + "' can't be used: " + compiled->error());
  return compiled;
}

}  // namespace

Executable::Executable() = default;
Executable::~Executable() = default;

bool Executable::patternMatches(std::size_t pattern, std::string_view text) const {
  return re2::RE2::PartialMatch(re2::StringPiece(text.data(), text.size()), *patterns_[pattern]);
}

std::shared_ptr<const Executable> linkProgram(Program program,
                                              std::vector<std::shared_ptr<const Table>> tables) {
  if (const auto error = verify(program))
    throw LinkError(LinkErrorCode::programNotVerified,
                    "instruction " + std::to_string(error->instruction) + " " + error->message);
  if (tables.size() != program.tables.size())
    throw LinkError(LinkErrorCode::tableMissing, "a table is missing");
  // The constructor is private, so std::make_shared cannot be used.
  const std::shared_ptr<Executable> executable(new Executable);
  for (const std::string& pattern : program.patterns)
    executable->patterns_.push_back(compilePattern(pattern));
  for (const auto& items : program.sets) executable->sets_.push_back(Table::of(items));
  executable->tables_ = std::move(tables);
  executable->program_ = std::move(program);
  return executable;
}

}  // namespace finchstile::hook
