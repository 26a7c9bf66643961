#include "quota_service.h"

#include <fmt/format.h>

namespace ibiswell {

namespace {

using namespace std::chrono_literals;

constexpr Duration tellInterval = 300ms;

} // namespace

QuotaService::QuotaService(Kernel &kernel)
    : m_node(kernel.get<NodeState>("node"))
    , m_policy(kernel.get<PolicyStore>("policy"))
    , m_membership(kernel.get<Membership>("membership"))
    , m_shares(kernel.get<QuotaShares>("quota-shares"))
    , m_account(kernel.get<QuotaAccount>("quota-account"))
    , m_gossip(kernel.get<Gossip>("gossip"))
{
    m_gossip.setTokenHandler([this](const Datagram &datagram) { onDatagram(datagram); });
}

std::optional<Quota> QuotaService::quotaOf(const std::string &team) const
{
    const TeamPolicy &policy = m_policy.policy().team(team);
    if (policy.unlimited)
        return std::nullopt;
    return Quota {policy.ratePerSecond, policy.burst};
}

std::optional<Refusal> QuotaService::pass(const std::string &team)
{
    std::optional<Quota> quota = quotaOf(team);
    TimePoint now = steadyNow();
    if (!quota || m_shares.spend(now, team, *quota))
        return std::nullopt;
    Refusal refusal {ErrorKind::RateExceeded,
                     fmt::format("team \"{}\" is over its rate of {}/s and burst of {}", team,
                                 quota->ratePerSecond, quota->burst),
                     Execution::NotRun};
    refusal.retryAfter = m_shares.untilNext(now, team, *quota);
    return refusal;
}

Task<void> QuotaService::tellDemand()
{
    for (;;) {
        co_await sleepFor(tellInterval);
        std::vector<const Member *> present = m_membership.present();
        m_shares.setNodes(present.size());
        std::map<const Member *, DemandReport> reports;
        for (TeamDemand &demand : m_shares.demands(steadyNow())) {
            if (!quotaOf(demand.team))
                continue;
            const Member *accountant = accountantOf(demand.team, present);
            reports[accountant].demands.push_back(std::move(demand));
        }
        for (auto &[accountant, report] : reports) {
            if (accountant == &m_membership.self())
                onDemand(m_node.settings.node, {}, report);
            else
                m_gossip.sendTo(accountant->endpoint, std::move(report));
        }
    }
}

void QuotaService::onDemand(const std::string &node, const Endpoint &replyTo,
                            const DemandReport &report)
{
    auto quota = [this](const std::string &team) { return quotaOf(team); };
    std::size_t nodes = m_membership.present().size();
    ShareGrant grant {m_account.onDemand(steadyNow(), node, report.demands, nodes, quota)};
    if (node == m_node.settings.node)
        m_shares.onShares(steadyNow(), grant.shares);
    else
        m_gossip.sendTo(replyTo, std::move(grant));
}

void QuotaService::onDatagram(const Datagram &datagram)
{
    if (const DemandReport *report = std::get_if<DemandReport>(&datagram.body))
        onDemand(datagram.sender, datagram.senderEndpoint, *report);
    if (const ShareGrant *grant = std::get_if<ShareGrant>(&datagram.body))
        m_shares.onShares(steadyNow(), grant->shares);
}

} // namespace ibiswell
