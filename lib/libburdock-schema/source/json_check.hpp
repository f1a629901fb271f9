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

    /** @brief Whether a fault is known at a path, above it or below it. */
    [[nodiscard]] bool concerns(std::string_view path) const;

private:
    std::string m_file;
    std::vector<Fault> m_faults;
};

/**
 * @brief Parses JSON into a message and reports each unknown field and wrong type with its path.
 * @return false if nothing could be read; else the message holds what was not faulty
 */
[[nodiscard]] bool readJson(std::string_view json, google::protobuf::Message &message, FaultList &faults);

} // namespace burdock::schema::detail
