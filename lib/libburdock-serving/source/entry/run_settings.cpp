#include <burdock/serving/entry/run_settings.hpp>

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

std::variant<RunSettings, RefusalReason> resolveRunSettings(const RunSpec &spec, const std::shared_ptr<const Snapshot> &config)
{
    RunSettings settings;
    settings.config = config;
    const auto *customer = config->customer(spec.customer);
    if (customer == nullptr) {
        return RefusalReason::UnknownCustomer;
    }
    settings.priority = customer->priority();
    if (spec.service) {
        const auto *service = config->service(spec.service->service());
        if (service == nullptr) {
            return RefusalReason::UnknownService;
        }
        settings.pool = service->pool();
        settings.isRepeatable = isRepeatable(*service, *spec.service);
        return settings;
    }
    const auto *model = config->model(spec.prompt->model());
    if (model == nullptr) {
        return RefusalReason::UnknownModel;
    }
    settings.pool = model->pool();
    settings.weightVersion = model->weight_version();
    return settings;
}

} // namespace burdock::serving
