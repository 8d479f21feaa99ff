#include "handover/abandoned_ids_text.hpp"

#include <nlohmann/json.hpp>

#include "handover/learned_state_text.hpp"

namespace finchstile::handover {
namespace {

using nlohmann::json;

constexpr const char* kKey = "abandonedIds";
// JSON writes a byte as six at the most, beside the punctuation and the age.
constexpr std::size_t kMaxBytesPerByte = 6;
constexpr std::size_t kBytesBesideId = 32;

}  // namespace

std::vector<std::string> encodeAbandonedIds(const std::vector<AbandonedIdAge>& ids) {
  std::vector<std::string> texts;
  json part = json::array();
  std::size_t partBytes = kBytesBesideId;
  const auto finishPart = [&] {
    if (part.empty()) return;
    texts.push_back(json{{kKey, std::move(part)}}.dump(-1, ' ', false, json::error_handler_t::replace));
    part = json::array();
    partBytes = kBytesBesideId;
  };
  for (const AbandonedIdAge& each : ids) {
    const std::size_t bytes = kMaxBytesPerByte * each.id.size() + kBytesBesideId;
    if (bytes + kBytesBesideId > kMaxLearnedStateBytes) continue;
    if (partBytes + bytes > kMaxLearnedStateBytes) finishPart();
    part.push_back({each.id, each.ageMs});
    partBytes += bytes;
  }
  finishPart();
  return texts;
}

std::optional<std::vector<AbandonedIdAge>> decodeAbandonedIds(std::string_view text) try {
  const json in = json::parse(text);
  if (!in.is_object() || !in.contains(kKey)) return std::nullopt;
  std::vector<AbandonedIdAge> ids;
  for (const json& each : in.at(kKey))
    ids.push_back({each.at(0).get<std::string>(), each.at(1).get<std::int64_t>()});
  return ids;
} catch (const json::exception&) {
  return std::nullopt;
}

}  // namespace finchstile::handover
