#include "hook/table.hpp"

#include <algorithm>
#include <charconv>
#include <functional>

namespace finchstile::hook {
namespace {

std::string_view trimmed(std::string_view s) {
  const auto blank = [](char c) { return c == ' ' || c == '\t' || c == '\r'; };
  while (!s.empty() && blank(s.front())) s.remove_prefix(1);
  while (!s.empty() && blank(s.back())) s.remove_suffix(1);
  return s;
}

constexpr std::string_view kCountMark = "#entries ";
constexpr std::size_t kMaxShownKeyBytes = 40;

}  // namespace

std::uint32_t Table::hashOf(std::string_view key) {
  const auto h = static_cast<std::uint64_t>(std::hash<std::string_view>{}(key));
  return static_cast<std::uint32_t>(h ^ (h >> 32)) | 1U;  // 0 marks a free slot
}

void Table::reserve(std::size_t entries) {
  std::size_t slots = 4;
  while (slots < 2 * entries) slots *= 2;
  slots_.assign(slots, Slot{});
}

const Table::Slot* Table::find(std::string_view key) const {
  if (slots_.empty()) return nullptr;
  const std::uint32_t hash = hashOf(key);
  for (std::size_t i = hash & (slots_.size() - 1);; i = (i + 1) & (slots_.size() - 1)) {
    const Slot& s = slots_[i];
    if (s.hash == 0) return nullptr;
    if (s.hash == hash && std::string_view(bytes_).substr(s.at, s.keySize) == key) return &s;
  }
}

std::string_view Table::lookUp(std::string_view key) const {
  const Slot* s = find(key);
  return s ? std::string_view(bytes_).substr(s->at + s->keySize, s->valueSize) : std::string_view();
}

bool Table::add(std::string_view key, std::string_view value) {
  if (find(key)) return false;
  const std::uint32_t hash = hashOf(key);
  std::size_t i = hash & (slots_.size() - 1);
  while (slots_[i].hash != 0) i = (i + 1) & (slots_.size() - 1);
  slots_[i] = {static_cast<std::uint32_t>(bytes_.size()), static_cast<std::uint16_t>(key.size()),
               static_cast<std::uint16_t>(value.size()), hash};
  bytes_.append(key).append(value);
  ++entries_;
  return true;
}

Table Table::of(const std::vector<std::string>& keys) {
  Table t;
  if (!keys.empty()) t.reserve(keys.size());
  for (const std::string& key : keys) t.add(key, {});
  return t;
}

// Reads the lines of a table. Errors are added to `problems`.
class Table::Parser {
 public:
  Parser(std::string_view text, std::vector<Problem>& problems) : text_(text), problems_(problems) {}

  std::optional<Table> run() {
    const std::size_t problemsBefore = problems_.size();
    if (text_.size() > kMaxTableBytes) {
      addProblem(1, "the table has " + std::to_string(text_.size()) + " bytes; at most " +
                        std::to_string(kMaxTableBytes) + " are read");
      return std::nullopt;
    }
    const auto lines = static_cast<std::size_t>(std::count(text_.begin(), text_.end(), '\n')) + 1;
    table_.reserve(std::min(lines, kMaxTableEntries));
    table_.bytes_.reserve(text_.size());
    while (!text_.empty() && problems_.size() < problemsBefore + kMaxProblems) readLine(takeLine());
    if (problems_.size() == problemsBefore) checkEntryCount();
    if (problems_.size() > problemsBefore) return std::nullopt;
    return std::move(table_);
  }

 private:
  void addProblem(std::uint32_t line, std::string message) {
    problems_.push_back({{line, 1}, std::move(message)});
  }

  std::string_view takeLine() {
    ++line_;
    const std::size_t end = std::min(text_.find('\n'), text_.size());
    const std::string_view line = trimmed(text_.substr(0, end));
    text_.remove_prefix(std::min(end + 1, text_.size()));
    return line;
  }

  void readLine(std::string_view line) {
    if (line_ == 1 && line.substr(0, kCountMark.size()) == kCountMark)
      readEntryCount(trimmed(line.substr(kCountMark.size())));
    if (line.empty() || line.front() == '#') return;
    const std::size_t equals = line.find('=');
    const bool hasValue = equals != std::string_view::npos;
    addEntry(trimmed(line.substr(0, equals)), hasValue ? trimmed(line.substr(equals + 1)) : "");
  }

  void readEntryCount(std::string_view digits) {
    const char* const digitsEnd = digits.data() + digits.size();
    std::size_t entries = 0;
    const auto [end, error] = std::from_chars(digits.data(), digitsEnd, entries);
    if (error != std::errc{} || end != digitsEnd) addProblem(line_, "no number behind #entries");
    declaredEntries_ = entries;
  }

  void addEntry(std::string_view key, std::string_view value) {
    if (key.empty() || key.size() > kMaxTableTextBytes || value.size() > kMaxTableTextBytes) {
      addProblem(line_,
                 "a key has 1 to " + std::to_string(kMaxTableTextBytes) + " bytes, a value at most as many");
    } else if (table_.entries_ >= kMaxTableEntries) {
      addProblem(line_, "more than " + std::to_string(kMaxTableEntries) + " entries");
      text_ = {};
    } else if (!table_.add(key, value)) {
      addProblem(line_, "the key '" + std::string(key.substr(0, kMaxShownKeyBytes)) + "' stands twice");
    }
  }

  void checkEntryCount() {
    if (!declaredEntries_ || *declaredEntries_ == table_.entries_) return;
    addProblem(1, "the table is not whole: #entries says " + std::to_string(*declaredEntries_) + ", and " +
                      std::to_string(table_.entries_) + " were read");
  }

  std::string_view text_;  // the unread rest
  std::vector<Problem>& problems_;
  Table table_;
  std::optional<std::size_t> declaredEntries_;
  std::uint32_t line_ = 0;
};

std::optional<Table> Table::parse(std::string_view text, std::vector<Problem>& problems) {
  return Parser(text, problems).run();
}

}  // namespace finchstile::hook
