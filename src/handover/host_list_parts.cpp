#include "handover/host_list_parts.hpp"

#include <nlohmann/json.hpp>
#include <utility>

namespace finchstile::handover {

using nlohmann::json;

std::string encodeHostListPart(const HostListPart& part) {
  const json out = {
      {"discovery", part.discovery}, {"part", part.index}, {"parts", part.count}, {"hostList", part.list}};
  return out.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<HostListPart> decodeHostListPart(std::string_view text) try {
  const json in = json::parse(text);
  if (!in.is_object() || !in.contains("hostList")) return std::nullopt;
  return HostListPart{in.at("discovery").get<std::string>(), in.at("part").get<std::size_t>(),
                      in.at("parts").get<std::size_t>(), in.at("hostList").get<std::string>()};
} catch (const json::exception&) {
  return std::nullopt;
}

std::optional<std::vector<std::string>> HostListParts::add(HostListPart&& part) {
  if (part.index == 0) lists_.clear();
  if (part.index != lists_.size() || part.index >= part.count) {
    lists_.clear();
    return std::nullopt;
  }
  lists_.push_back(std::move(part.list));
  if (lists_.size() < part.count) return std::nullopt;
  return std::exchange(lists_, {});
}

}  // namespace finchstile::handover
