// Parses the calls of the administration interface from request lines. No I/O.
//
//   GET /api/ready          whether this process is ready to serve
//   GET /api/telemetry      the metrics
//   PUT /api/exclude/ID     cordon host ID: it gets no new requests
//   PUT /api/include/ID     uncordon host ID
//   PUT /api/evacuate       enter lame duck mode: clients are requested to disconnect
//   PUT /api/rejoin         leave lame duck mode
//   GET /api/hosts          state of all hosts, each value with its source and age
//   GET /api/hosts/ID       state of host ID
#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace finchstile::ops {

enum class AdminCallKind { ready, telemetry, exclude, include, evacuate, rejoin, hosts };

struct AdminCall {
  AdminCallKind kind = AdminCallKind::ready;
  // For exclude, include and hosts: name of the host in the endpoint list, percent-decoded. Empty: all hosts.
  std::string host;
};

struct AdminCallResult {
  std::optional<AdminCall> call;
  // Status of the response if `call` is empty: 400 malformed, 404 unknown call, 405 wrong method.
  unsigned status = 200;
  std::string_view allow;  // allowed method, for status 405
};

// `target` is the request target as received; a query is ignored. Names of hosts must have 1 to 256 bytes.
AdminCallResult parseAdminCall(std::string_view method, std::string_view target);

}  // namespace finchstile::ops
