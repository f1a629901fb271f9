// Uses the placement policy, admission control and the at-most-once state machine as a library, without the daemons.

#include <burdock/admission/admission_controller.hpp>
#include <burdock/once/once_state_machine.hpp>
#include <burdock/placement/policy.hpp>

#include <iostream>

using namespace burdock;

int main()
{
    const std::vector<placement::EndpointView> endpoints{{11, 1.0, 0, 4}, {22, 1.0, 3, 4}, {33, 0.5, 0, 4}};
    placement::PlacementRequest request;
    request.homeHash = 42;
    const auto order = placement::HomePolicy({}).order(request, endpoints, 2);
    std::cout << "home: endpoint " << endpoints[order.front()].id << "\n";

    admission::AdmissionPolicy policy;
    policy.warmUp = {1, 4, true};
    policy.queueLimit = 1;
    admission::AdmissionController controller(policy);
    const TimePoint now{};
    for (admission::Ticket ticket = 1; ticket <= 3; ++ticket) {
        admission::AdmissionRequest admissionRequest;
        admissionRequest.ticket = ticket;
        admissionRequest.customer = "desk";
        admissionRequest.deadline = now + std::chrono::seconds(10);
        const auto decision = controller.request(admissionRequest, now);
        std::cout << "request " << ticket << ": "
                  << (decision.status == admission::AdmissionStatus::Admitted     ? "admitted"
                          : decision.status == admission::AdmissionStatus::Queued ? "queued"
                                                                                  : "refused")
                  << "\n";
    }

    once::OnceStateMachine machine({1}, {});
    const bool createsRecord = machine.start() == once::Action::CreateRecord;
    const bool runsRequest = machine.handleClaimResult(StoreResult::Written) == once::Action::Run;
    std::cout << "at most once: " << (createsRecord && runsRequest ? "create the record, then run" : "unexpected") << "\n";
    return createsRecord && runsRequest ? 0 : 1;
}
