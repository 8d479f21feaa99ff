#include "simulator/endpoint_lists.hpp"

#include <utility>

#include "simulator/protocol_line.hpp"

namespace finchstile::load_balancing::simulator {
namespace {

HostPhase readPhase(std::string_view text) {
  if (text == "IN") return HostPhase::active;
  if (text == "LAME") return HostPhase::draining;
  if (text == "OUT") return HostPhase::removed;
  throw ProtocolError("unknown host phase");
}

HostEntry readHostEntry(std::string_view fields) {
  HostEntry entry;
  Field field;
  while (nextField(fields, field)) {
    if (field.name == "host") entry.address = field.value;
    else if (field.name == "locality") entry.zone = field.value;
    else if (field.name == "machine") entry.machineType = field.value;
    else if (field.name == "block") entry.cell = field.number<std::int64_t>();
    else if (field.name == "upSinceNs") entry.startedAt = field.nanoseconds();
    else if (field.name == "phase") entry.phase = readPhase(field.value);
  }
  if (entry.address.empty()) throw ProtocolError("host missing");
  return entry;
}

}  // namespace

void EndpointLists::begin(std::string_view fields) {
  Field field;
  std::size_t number = kMaxLists;
  std::size_t rows = 0;
  while (nextField(fields, field)) {
    if (field.name == "buffer") number = field.number<std::size_t>();
    else if (field.name == "rowsIn") rows = field.number<std::size_t>();
  }
  if (number >= kMaxLists) throw ProtocolError("list number missing or out of range");
  current_ = &lists_[number];
  current_->hasBegun = true;
  current_->entries.clear();
  remainingRows_ = rows;
}

void EndpointLists::addRow(std::string_view fields) {
  if (remainingRows_ == 0) throw ProtocolError("row outside a list");
  --remainingRows_;
  current_->entries.push_back(readHostEntry(fields));
}

const std::vector<HostEntry>* EndpointLists::find(std::size_t number) const {
  return number < kMaxLists && lists_[number].hasBegun ? &lists_[number].entries : nullptr;
}

}  // namespace finchstile::load_balancing::simulator
