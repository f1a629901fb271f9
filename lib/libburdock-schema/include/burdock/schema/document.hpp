#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/settings.pb.h>
#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Reads and checks the JSON documents that people write. */
namespace burdock::schema {

/** @brief One fault of a document. */
struct Fault
{
    std::string file;
    std::string path; ///< JSON path, e.g. `$.models[0].pool`
    std::string reason;
};

/** @brief `file: path: reason` */
[[nodiscard]] std::string toString(const Fault &fault);

/** @brief A document without faults, or all its faults. */
template <typename Document>
struct Checked
{
    std::optional<Document> document;
    std::vector<Fault> faults;
};

/**
 * @brief Reads a bundle.
 * @param file name for the faults
 */
[[nodiscard]] Checked<Bundle> parseBundle(const std::string &file, std::string_view json);

/** @brief All faults of a bundle that was put together in memory. */
[[nodiscard]] std::vector<Fault> checkBundle(const std::string &file, const Bundle &bundle);

/** @brief Reads the description of one customer. */
[[nodiscard]] Checked<Customer> parseCustomer(const std::string &file, std::string_view json);

/** @brief Reads a daemon's settings. */
[[nodiscard]] Checked<DaemonSettings> parseSettings(const std::string &file, std::string_view json);

/** @brief Reads a gateway's settings. */
[[nodiscard]] Checked<GatewaySettings> parseGatewaySettings(const std::string &file, std::string_view json);

/** @brief Reads a signed bundle; checks its form only, not the signature. */
[[nodiscard]] Checked<SignedBundle> parseSignedBundle(const std::string &file, std::string_view json);

} // namespace burdock::schema
