#include "entry/controllink.h"

#include "base/hashing.h"
#include "peer.pb.h"

#include <algorithm>

namespace burdock {

namespace {

constexpr std::size_t LeaseCandidates = 3; // as in PlacementSettings

} // namespace

ControlLink::ControlLink(EntryState &state)
    : m_state(state)
{
}

std::vector<std::string> ControlLink::liveNodes() const
{
    std::vector<std::string> names;
    for (const auto &[name, row] : m_state.fleet.membership().members()) {
        if (row.state == MemberState::Alive || row.state == MemberState::Suspect)
            names.push_back(name);
    }
    return names;
}

void ControlLink::onViewRequest(const wire::ViewRequest &request)
{
    m_leaseHolder = request.lease_holder();
    wire::PeerMessage message;
    wire::NodeView &view = *message.mutable_node_view();
    const ConfigSnapshot &config = m_state.fleet.keeper().inForce();
    view.set_revision(config.head.revision);
    view.set_publish_id(config.head.publishId);
    if (request.have_revision() < config.head.revision) {
        for (const auto &[key, text] : config.texts)
            (*view.mutable_texts())[key] = text;
    }
    for (const std::string &name : liveNodes())
        view.add_live_nodes(name);
    for (const VmEntry &vm : m_state.vms) {
        wire::Vm &out = *view.add_vms();
        out.set_name(vm.name);
        out.set_address(vm.endpoint.address);
        out.set_port(vm.endpoint.port);
        out.set_group(vm.group);
        out.set_availability_zone(vm.availabilityZone);
        out.set_leaving(vm.state == VmState::Leaving);
    }
    const NodeSettings &settings = m_state.settings;
    m_state.link.send({ settings.address, settings.controlPeerPort }, message);
}

void ControlLink::reportDemand()
{
    const DemandReport report = m_state.demand.report(m_state.settings.name, steadyNow());
    wire::PeerMessage message;
    message.mutable_demand()->set_node(report.node);
    for (const ModelDemand &model : report.models) {
        wire::ModelDemand &out = *message.mutable_demand()->add_models();
        out.set_model(model.model);
        out.set_requests_per_second(model.requestsPerSecond);
    }
    std::vector<std::string> receivers = rendezvousOrder(m_state.settings.region, liveNodes());
    receivers.resize(std::min(receivers.size(), LeaseCandidates));
    if (std::find(receivers.begin(), receivers.end(), m_leaseHolder) == receivers.end())
        receivers.push_back(m_leaseHolder);
    for (const std::string &name : receivers) {
        const auto found = m_state.fleet.membership().members().find(name);
        if (found == m_state.fleet.membership().members().end())
            continue;
        const auto endpoint = parseEndpoint(found->second.address);
        if (isOk(endpoint))
            m_state.link.send({ valueOf(endpoint).address, m_state.settings.controlPeerPort },
                              message);
    }
}

} // namespace burdock
