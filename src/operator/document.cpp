#include "operator/document.hpp"

#define TOML_EXCEPTIONS 0
#include <toml++/toml.h>

namespace finchstile {
namespace {

SettingNode convert(const toml::node& from, int depth, std::vector<SettingProblem>& problems) {
  SettingNode to;
  to.line = static_cast<int>(from.source().begin.line);
  if (depth > kDocumentDepthMost) {
    problems.push_back({to.line, "tables and lists stand within one another more than " +
                                     std::to_string(kDocumentDepthMost) + " deep"});
    to.value = SettingNode::Other{"too deep"};
    return to;
  }
  if (const auto* table = from.as_table()) {
    SettingNode::Table out;
    for (const auto& [key, item] : *table)
      out.emplace(std::string(key.str()), convert(item, depth + 1, problems));
    to.value = std::move(out);
  } else if (const auto* list = from.as_array()) {
    SettingNode::Array out;
    for (const auto& item : *list) out.push_back(convert(item, depth + 1, problems));
    to.value = std::move(out);
  } else if (const auto* text = from.as_string()) {
    to.value = text->get();
  } else if (const auto* integer = from.as_integer()) {
    to.value = integer->get();
  } else if (const auto* number = from.as_floating_point()) {
    to.value = number->get();
  } else if (const auto* boolean = from.as_boolean()) {
    to.value = boolean->get();
  } else {
    to.value = SettingNode::Other{"a date or time"};
  }
  return to;
}

}  // namespace

std::string_view SettingNode::kind() const {
  struct Name {
    std::string_view operator()(const Table&) const { return "a table"; }
    std::string_view operator()(const Array&) const { return "a list"; }
    std::string_view operator()(const std::string&) const { return "text"; }
    std::string_view operator()(std::int64_t) const { return "an integer"; }
    std::string_view operator()(double) const { return "a number with a point"; }
    std::string_view operator()(bool) const { return "true or false"; }
    std::string_view operator()(const Other& o) const { return o.kind; }
  };
  return std::visit(Name{}, value);
}

SettingNode parseToml(std::string_view text, std::vector<SettingProblem>& problems) {
  SettingNode empty;
  empty.value = SettingNode::Table{};
  if (text.size() > kDocumentMost) {
    problems.push_back({0, "the file has " + std::to_string(text.size()) + " bytes; at most " +
                               std::to_string(kDocumentMost) + " are read"});
    return empty;
  }
  const toml::parse_result result = toml::parse(text);
  if (!result) {
    problems.push_back({static_cast<int>(result.error().source().begin.line),
                        "not TOML: " + std::string(result.error().description())});
    return empty;
  }
  const std::size_t before = problems.size();
  SettingNode out = convert(result.table(), 0, problems);
  return problems.size() > before ? empty : out;
}

std::string describe(const std::string& file, const SettingProblem& problem) {
  return problem.line > 0 ? file + ":" + std::to_string(problem.line) + ": " + problem.what
                          : file + ": " + problem.what;
}

}  // namespace finchstile
