// Settings of the [membership] table in the operator's configuration file.
#pragma once

#include "membership/gossip.hpp"
#include "membership/host_state_table.hpp"
#include "membership/list_policy.hpp"
#include "membership/snapshot_server.hpp"
#include "membership/warm_start.hpp"
#include "operator/reader.hpp"

namespace finchstile::membership {

struct MembershipSettings {
  bool enabled = false;
  ListPolicySettings list;
  HostStateTable::Limits hostStates;
  struct {
    bool enabled = false;
    GossipSettings gossip;  // `ownNumber` and `gatewayCount` are set from the [peers] table
  } gossip;
  struct {
    bool enabled = false;
    WarmStartSettings start;  // `ownNumber` and `gatewayCount` are set from the [peers] table
    SnapshotServer::Settings server;
  } warmStart;
  bool needsPeers() const { return enabled && (gossip.enabled || warmStart.enabled); }
};

// Reads the table into `out` and reports errors to the reader.
void readMembershipSettings(SettingReader& root, MembershipSettings& out);

}  // namespace finchstile::membership
