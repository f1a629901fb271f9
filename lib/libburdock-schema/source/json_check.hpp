#pragma once

#include <burdock/schema/document.hpp>

#include <google/protobuf/message.h>

namespace burdock::schema::detail {

/** @brief Collects the faults of one document. */
class FaultList
{
public:
    explicit FaultList(std::string file);
    void add(std::string path, std::string reason);
    [[nodiscard]] std::vector<Fault> take();
    [[nodiscard]] bool isEmpty() const;

    /** @brief Whether a fault is reported for a JSON path, one of its ancestors or one of its descendants. */
    [[nodiscard]] bool hasRelatedFault(std::string_view path) const;

private:
    std::string m_file;
    std::vector<Fault> m_faults;
};

/**
 * @brief Parses JSON into a message and reports each unknown field and each value of the wrong type with its path.
 * @return false if the document could not be parsed; otherwise the message holds the fields without faults
 */
[[nodiscard]] bool readJson(std::string_view json, google::protobuf::Message &message, FaultList &faults);

} // namespace burdock::schema::detail
