#include <burdock/endpoints/endpoint_table.hpp>

namespace burdock::endpoints {

bool SelectionRequest::acceptsSoftwareOf(const Endpoint &endpoint) const
{
    return (!software || endpoint.software == *software) && (!mayUse || mayUse(endpoint)) && (!mayBegin || mayBegin(endpoint));
}

} // namespace burdock::endpoints
