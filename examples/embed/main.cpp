// Uses placement, admission and the at-most-once machine without any of the daemons.

#include <burdock/admission/admission_controller.hpp>
#include <burdock/once/once_state_machine.hpp>
#include <burdock/placement/policy.hpp>

#include <iostream>

using namespace burdock;

int main()
{
    const std::vector<placement::EndpointView> endpoints{{11, 1.0, 0, 4}, {22, 1.0, 3, 4}, {33, 0.5, 0, 4}};
    placement::PlacementRequest request;
    request.home = 42;
    const auto order = placement::HomePolicy({}).order(request, endpoints, 2);
    std::cout << "home: endpoint " << endpoints[order.front()].id << "\n";

    admission::AdmissionPolicy policy;
    policy.warmUp = {1, 4, true};
    policy.queueLimit = 1;
    admission::AdmissionController controller(policy);
    const TimePoint now{};
    for (admission::Ticket ticket = 1; ticket <= 3; ++ticket) {
        admission::AdmissionRequest asked;
        asked.ticket = ticket;
        asked.customer = "desk";
        asked.deadline = now + std::chrono::seconds(10);
        const auto decision = controller.request(asked, now);
        std::cout << "request " << ticket << ": "
                  << (decision.status == admission::AdmissionStatus::Admitted     ? "admitted"
                          : decision.status == admission::AdmissionStatus::Queued ? "queued"
                                                                                  : "refused")
                  << "\n";
    }

    once::OnceStateMachine machine({1}, {});
    const bool creates = machine.start() == once::Action::CreateRecord;
    const bool runs = machine.handleClaimResult(StoreResult::Written) == once::Action::Run;
    std::cout << "at most once: " << (creates && runs ? "create the record, then run" : "unexpected") << "\n";
    return creates && runs ? 0 : 1;
}
