// Extensions that the program attaches to a gateway. The components of the gateway share them by reference.
#pragma once

#include "net/attempt_log.hpp"
#include "net/host_list_hooks.hpp"
#include "net/request_filter.hpp"
#include "net/upgrade_handler.hpp"

namespace finchstile {

/// All extensions are owned by the program and outlive the gateway. A null pointer means that none is
/// attached.
struct GatewayExtensions {
  RequestFilterChain filters;
  UpgradeHandler* upgradeHandler = nullptr;
  HostListInterceptor* hostListInterceptor = nullptr;
  HostObserver* hostObserver = nullptr;
  AttemptLog* attemptLog = nullptr;
};

}  // namespace finchstile
