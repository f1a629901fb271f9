#include <burdock/serving/entry/run_terms.hpp>

#include <algorithm>

namespace burdock::serving {

namespace {

bool isRepeatable(const schema::Service &service, const schema::ServiceWork &work)
{
    const auto &routes = service.non_repeatable();
    return std::none_of(routes.begin(), routes.end(), [&work](const auto &route) {
        return route.method() == work.method() && work.path().starts_with(route.path_prefix());
    });
}

} // namespace

std::variant<RunTerms, RefusalReason> readTerms(const RunSpec &spec, const std::shared_ptr<const Snapshot> &config)
{
    RunTerms terms;
    terms.config = config;
    const auto *customer = config->customer(spec.customer);
    if (customer == nullptr) {
        return RefusalReason::UnknownCustomer;
    }
    terms.priority = customer->priority();
    if (spec.service) {
        const auto *service = config->service(spec.service->service());
        if (service == nullptr) {
            return RefusalReason::UnknownService;
        }
        terms.pool = service->pool();
        terms.isRepeatable = isRepeatable(*service, *spec.service);
        return terms;
    }
    const auto *model = config->model(spec.prompt->model());
    if (model == nullptr) {
        return RefusalReason::UnknownModel;
    }
    terms.pool = model->pool();
    terms.weightVersion = model->weight_version();
    return terms;
}

} // namespace burdock::serving
