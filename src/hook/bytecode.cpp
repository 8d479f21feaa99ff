#include "hook/bytecode.hpp"

#include <optional>

#include "base/crc32.hpp"
#include "base/little_endian.hpp"

namespace finchstile::hook {
namespace {

using Code = BytecodeErrorCode;

constexpr std::size_t kChecksumBytes = sizeof(std::uint32_t);
constexpr std::size_t kHeadBytes = kBytecodeMagic.size() + sizeof(kBytecodeVersion);

// The smallest encoded size of an item.
constexpr std::size_t kMinTextBytes = 4;
constexpr std::size_t kIntegerBytes = 8;
constexpr std::size_t kTypeBytes = 1;
constexpr std::size_t kInstructionBytes = 8;  // the instruction and its source line

class ByteWriter {
 public:
  template <class Integer>
  void number(Integer value) {
    putLittleEndian(bytes_, value);
  }
  void count(std::size_t items) { number(static_cast<std::uint32_t>(items)); }
  void text(std::string_view text) {
    count(text.size());
    bytes_ += text;
  }
  void texts(const std::vector<std::string>& texts) {
    count(texts.size());
    for (const std::string& item : texts) text(item);
  }
  void raw(std::string_view bytes) { bytes_ += bytes; }

  const std::string& bytes() const { return bytes_; }

 private:
  std::string bytes_;
};

class ByteReader {
 public:
  explicit ByteReader(std::string_view bytes) : bytes_(bytes) {}

  template <class Integer>
  Integer number() {
    return getLittleEndian<Integer>(take(sizeof(Integer)));
  }

  // Reads the number of the items that follow. They must fit into the remaining bytes, so that a corrupt
  // count cannot cause a large allocation.
  std::size_t count(std::size_t maxItems, std::size_t minItemBytes, const char* what) {
    const std::size_t items = number<std::uint32_t>();
    if (items > maxItems)
      throw BytecodeError(Code::limitExceeded, std::string("more ") + what + " than allowed");
    if (items > bytes_.size() / minItemBytes)
      throw BytecodeError(Code::wrongSize, std::string("cut within its ") + what);
    return items;
  }

  std::string text(std::size_t maxBytes, const char* what) {
    const std::size_t size = number<std::uint32_t>();
    if (size > maxBytes)
      throw BytecodeError(Code::limitExceeded,
                          std::string("a longer text among its ") + what + " than allowed");
    return std::string(take(size));
  }

  std::vector<std::string> texts(std::size_t maxTexts, std::size_t maxBytes, const char* what) {
    std::vector<std::string> texts(count(maxTexts, kMinTextBytes, what));
    for (std::string& item : texts) item = text(maxBytes, what);
    return texts;
  }

  bool atEnd() const { return bytes_.empty(); }

 private:
  std::string_view take(std::size_t size) {
    if (size > bytes_.size()) throw BytecodeError(Code::wrongSize, "cut short");
    const std::string_view taken = bytes_.substr(0, size);
    bytes_.remove_prefix(size);
    return taken;
  }

  std::string_view bytes_;
};

void writeHandler(ByteWriter& writer, const std::optional<HandlerCode>& handler) {
  writer.number(static_cast<std::uint8_t>(handler.has_value()));
  if (!handler) return;
  writer.number(handler->entry);
  writer.number(handler->end);
  writer.count(handler->locals.size());
  for (const Type type : handler->locals) writer.number(static_cast<std::uint8_t>(type));
}

std::optional<HandlerCode> readHandler(ByteReader& reader) {
  const auto present = reader.number<std::uint8_t>();
  if (present > 1) throw BytecodeError(Code::invalidValue, "a handler is neither there nor not");
  if (present == 0) return std::nullopt;
  HandlerCode handler;
  handler.entry = reader.number<std::uint32_t>();
  handler.end = reader.number<std::uint32_t>();
  const std::size_t locals = reader.count(kMaxLocals, kTypeBytes, "locals");
  for (std::size_t i = 0; i < locals; ++i) {
    const auto type = reader.number<std::uint8_t>();
    if (type >= kTypes) throw BytecodeError(Code::invalidValue, "a local of no known type");
    handler.locals.push_back(static_cast<Type>(type));
  }
  return handler;
}

void readIntegers(ByteReader& reader, Program& program) {
  program.integers.resize(reader.count(kMaxConstants, kIntegerBytes, "integers"));
  for (std::int64_t& integer : program.integers) integer = reader.number<std::int64_t>();
}

void readSets(ByteReader& reader, Program& program) {
  program.sets.resize(reader.count(kMaxConstants, kMinTextBytes, "sets"));
  for (auto& set : program.sets) set = reader.texts(kMaxConstants, kMaxLiteralBytes, "sets");
}

void readInstructions(ByteReader& reader, Program& program) {
  const std::size_t instructions = reader.count(kMaxInstructions, kInstructionBytes, "instructions");
  program.code.resize(instructions);
  program.lines.resize(instructions);
  for (std::size_t i = 0; i < instructions; ++i) {
    program.code[i] = reader.number<std::uint32_t>();
    program.lines[i] = reader.number<std::uint32_t>();
  }
}

Program readProgram(ByteReader reader) {
  Program program;
  program.name = reader.text(kMaxNameBytes, "names");
  readIntegers(reader, program);
  program.texts = reader.texts(kMaxConstants, kMaxLiteralBytes, "texts");
  readSets(reader, program);
  program.patterns = reader.texts(kMaxPatterns, kMaxPatternBytes, "patterns");
  program.tables = reader.texts(kMaxTables, kMaxLiteralBytes, "tables");
  program.counters = reader.texts(kMaxCounters, kMaxNameBytes, "counters");
  for (auto& handler : program.handlers) handler = readHandler(reader);
  readInstructions(reader, program);
  if (!reader.atEnd()) throw BytecodeError(Code::wrongSize, "more bytes than belong to it");
  return program;
}

void checkVersion(std::string_view bytes) {
  const auto version = ByteReader(bytes.substr(kBytecodeMagic.size())).number<std::uint16_t>();
  if (version != kBytecodeVersion)
    throw BytecodeError(Code::unknownVersion, "of format " + std::to_string(version) +
                                                  "; this program reads " + std::to_string(kBytecodeVersion));
}

}  // namespace

std::string encode(const Program& program) {
  ByteWriter writer;
  writer.raw(kBytecodeMagic);
  writer.number(kBytecodeVersion);
  writer.text(program.name);
  writer.count(program.integers.size());
  for (const std::int64_t integer : program.integers) writer.number(integer);
  writer.texts(program.texts);
  writer.count(program.sets.size());
  for (const auto& set : program.sets) writer.texts(set);
  writer.texts(program.patterns);
  writer.texts(program.tables);
  writer.texts(program.counters);
  for (const auto& handler : program.handlers) writeHandler(writer, handler);
  writer.count(program.code.size());
  for (std::size_t i = 0; i < program.code.size(); ++i) {
    writer.number(program.code[i]);
    writer.number(program.lines[i]);
  }
  writer.number(crc32(writer.bytes()));
  return writer.bytes();
}

Program decode(std::string_view bytes, ChecksumCheck checksumCheck) {
  if (bytes.size() > kMaxProgramBytes) throw BytecodeError(Code::limitExceeded, "larger than allowed");
  if (bytes.substr(0, kBytecodeMagic.size()) != kBytecodeMagic)
    throw BytecodeError(Code::notBytecode, "not the bytecode of a hook");
  checkVersion(bytes);
  if (bytes.size() < kHeadBytes + kChecksumBytes) throw BytecodeError(Code::wrongSize, "cut short");
  const std::string_view covered = bytes.substr(0, bytes.size() - kChecksumBytes);
  const auto checksum = ByteReader(bytes.substr(covered.size())).number<std::uint32_t>();
  if (checksumCheck == ChecksumCheck::required && checksum != crc32(covered))
    throw BytecodeError(Code::checksumMismatch, "damaged: its sum does not fit");
  return readProgram(ByteReader(covered.substr(kHeadBytes)));
}

}  // namespace finchstile::hook
