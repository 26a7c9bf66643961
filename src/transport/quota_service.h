#pragma once

#include "asio.h"
#include "gossip.h"
#include "node_state.h"

#include "ibiswell/decisions/policy_store.h"
#include "ibiswell/decisions/quota_shares.h"
#include "ibiswell/kernel/kernel.h"

namespace ibiswell {

/**
 * Holds requests to their team's rate over all VMs, by shares that follow the demand: tells the
 * accounting nodes what enters here, and accounts for some of the teams itself.
 */
class QuotaService
{
public:
    /** Looks up "node", "policy", "membership", "quota-shares", "quota-account" and "gossip". */
    explicit QuotaService(Kernel &kernel);

    /** Nothing when the request is within its team's rate, else why it is refused. */
    std::optional<Refusal> pass(const std::string &team);

    /** Tells the demand at a steady pace; runs until the node stops. */
    Task<void> tellDemand();

private:
    std::optional<Quota> quotaOf(const std::string &team) const;
    void onDatagram(const Datagram &datagram);
    void onDemand(const std::string &node, const Endpoint &replyTo, const DemandReport &report);

    NodeState &m_node;
    PolicyStore &m_policy;
    Membership &m_membership;
    QuotaShares &m_shares;
    QuotaAccount &m_account;
    Gossip &m_gossip;
};

} // namespace ibiswell
