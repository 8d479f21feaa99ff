// The calls of the administration interface, parsed from a request line. No I/O.
//
//   GET /api/ready          whether this process is ready to serve
//   GET /api/telemetry      the metrics
//   PUT /api/exclude/ID     cordon host ID: it gets nothing new
//   PUT /api/include/ID     uncordon host ID
//   PUT /api/evacuate       enter lame duck mode: clients are asked to leave
//   PUT /api/rejoin         leave lame duck mode
//   GET /api/hosts          what is known of all hosts, each fact with its source and age
//   GET /api/hosts/ID       what is known of host ID
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace finchstile::ops {

enum class AdminCallKind { ready, telemetry, exclude, include, evacuate, rejoin, hosts };

struct AdminCall {
  AdminCallKind kind = AdminCallKind::ready;
  // For exclude, include and hosts: the host's name in the endpoint list, percent-decoded. Empty for all
  // hosts.
  std::string host;
};

struct AdminCallResult {
  std::optional<AdminCall> call;
  // Without a call the status of the response: 400 malformed, 404 no such call, 405 another method is
  // allowed.
  unsigned status = 200;
  std::string_view allow;  // for 405: the allowed method
};

// `target` is the request target as received; a query is ignored. Names of hosts have 1 to 256 bytes.
AdminCallResult parseAdminCall(std::string_view method, std::string_view target);

}  // namespace finchstile::ops
