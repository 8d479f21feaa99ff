#include "simulator/settings_reader.hpp"

#include <algorithm>
#include <stdexcept>

#include "policy/settings.hpp"
#include "simulator/protocol_line.hpp"

namespace finchstile::load_balancing::simulator {

Settings readSettings(std::string_view fields) {
  Settings settings;
  Field field;
  try {
    while (nextField(fields, field)) applySetting(settings, field.name, field.value);
  } catch (const ProtocolError& error) {
    throw std::invalid_argument(error.what());
  }
  completeSettings(settings);
  return settings;
}

std::vector<std::string> readReportFields(std::string_view fields) {
  std::vector<std::string> names;
  Field field;
  while (nextField(fields, field)) {
    if (field.name != "report.fields") continue;
    for (std::string_view rest = field.value; !rest.empty();) {
      const std::size_t end = std::min(rest.find(','), rest.size());
      names.emplace_back(rest.substr(0, end));
      rest.remove_prefix(std::min(end + 1, rest.size()));
    }
  }
  return names;
}

}  // namespace finchstile::load_balancing::simulator
