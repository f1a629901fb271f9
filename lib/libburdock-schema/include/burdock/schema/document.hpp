#pragma once

#include <burdock/bundle.pb.h>
#include <burdock/settings.pb.h>
#include <burdock/types.hpp>

#include <optional>
#include <string>
#include <string_view>
#include <vector>

/** @brief Parses and validates JSON documents written by operators. */
namespace burdock::schema {

/** @brief A validation error in a document. */
struct Fault
{
    std::string file;
    std::string path; ///< JSON path, e.g. `$.models[0].pool`
    std::string reason;
};

/** @brief Formats a fault as `file: path: reason`. */
[[nodiscard]] std::string toString(const Fault &fault);

/** @brief A valid document, or all faults found in it. */
template <typename Document>
struct ParseResult
{
    std::optional<Document> document;
    std::vector<Fault> faults;
};

/**
 * @brief Parses and validates a bundle.
 * @param file name used in the reported faults
 */
[[nodiscard]] ParseResult<Bundle> parseBundle(const std::string &file, std::string_view json);

/** @brief Validates a bundle that was built in memory; returns all faults. */
[[nodiscard]] std::vector<Fault> checkBundle(const std::string &file, const Bundle &bundle);

/** @brief Parses and validates a single customer. */
[[nodiscard]] ParseResult<Customer> parseCustomer(const std::string &file, std::string_view json);

/** @brief Parses and validates the settings of a daemon. */
[[nodiscard]] ParseResult<DaemonSettings> parseSettings(const std::string &file, std::string_view json);

/** @brief Parses and validates the settings of a gateway. */
[[nodiscard]] ParseResult<GatewaySettings> parseGatewaySettings(const std::string &file, std::string_view json);

/** @brief Parses a signed bundle. Neither the signature nor the contained bundle is verified. */
[[nodiscard]] ParseResult<SignedBundle> parseSignedBundle(const std::string &file, std::string_view json);

} // namespace burdock::schema
