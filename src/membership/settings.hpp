// The part of the operator's file that is about what is known of hosts: [membership].
#pragma once

#include "membership/facts.hpp"
#include "membership/gossip.hpp"
#include "membership/list_policy.hpp"
#include "membership/warm_start.hpp"
#include "operator/reader.hpp"

namespace finchstile::membership {

struct MembershipSettings {
  bool enabled = false;
  ListPolicySettings list;
  View::Limits view;
  struct {
    bool enabled = false;
    GossipSettings gossip;  // `own` and `gateways` are the peers'
  } gossip;
  struct {
    bool enabled = false;
    WarmStartSettings start;  // the same
    SnapshotServer::Settings server;
  } warmStart;
  bool needsPeers() const { return enabled && (gossip.enabled || warmStart.enabled); }
};

void readMembershipSettings(SettingReader& root, MembershipSettings& out);

}  // namespace finchstile::membership
