#include "bundle_commands.hpp"

#include "console.hpp"

#include <burdock/hash/digest.hpp>
#include <burdock/runtime/link/keys.hpp>
#include <burdock/schema/document.hpp>
#include <burdock/schema/signing.hpp>

#include <google/protobuf/util/json_util.h>
#include <google/protobuf/util/message_differencer.h>
#include <iostream>

namespace burdock::ops::detail {

namespace {

using Arguments = std::vector<std::string>;

std::optional<schema::Bundle> readBundle(const std::string &path)
{
    const auto text = readFile(path);
    if (!text) {
        std::cerr << path << ": can't be read\n";
        return std::nullopt;
    }
    auto parsed = schema::parseBundle(path, *text);
    for (const auto &fault : parsed.faults) {
        std::cerr << schema::toString(fault) << "\n";
    }
    return std::move(parsed.document);
}

ExitCode checkBundle(const Arguments &arguments, const Options & /*options*/)
{
    const auto bundle = readBundle(arguments[0]);
    if (!bundle) {
        return ExitCode::BadInput;
    }
    std::cout << arguments[0] << ": version " << bundle->version() << " is well formed\n";
    return ExitCode::Ok;
}

ExitCode signBundle(const Arguments &arguments, const Options &options)
{
    const auto text = readFile(arguments[0]);
    const auto key = readFile(options.key);
    if (!readBundle(arguments[0]) || !text) {
        return ExitCode::BadInput;
    }
    const auto signedBundle = key ? schema::sign(*text, std::string_view(*key).substr(0, key->find('\n'))) : std::nullopt;
    if (!signedBundle) {
        return fail(ExitCode::BadInput, "--key must be a key file written by `bundle keygen`");
    }
    std::string json;
    static_cast<void>(google::protobuf::util::MessageToJsonString(*signedBundle, &json));
    if (!writeFile(options.out, json)) {
        return fail(ExitCode::Failed, "the file named by --out can't be written");
    }
    return ExitCode::Ok;
}

ExitCode generateSigningKey(const Arguments & /*arguments*/, const Options &options)
{
    const auto key = schema::generateSigningKey();
    if (!writeFile(options.out, key.secretKey + "\n")) {
        return fail(ExitCode::Failed, "the file named by --out can't be written");
    }
    std::cout << key.publicKey << "\n";
    return ExitCode::Ok;
}

ExitCode showBundle(const Arguments & /*arguments*/, const Options &options)
{
    PlatformClient client(options);
    Rollout rollout(client.store());
    const auto accepted = client.wait(rollout.accepted());
    if (accepted.status != StoreResult::Found) {
        return fail(ExitCode::Failed, "there is no accepted bundle, or the platform is unreachable");
    }
    std::cout << toJson(accepted.bundle) << "\n";
    return ExitCode::Ok;
}

ExitCode diffBundles(const Arguments &arguments, const Options & /*options*/)
{
    const auto before = readBundle(arguments[0]);
    const auto after = readBundle(arguments[1]);
    if (!before || !after) {
        return ExitCode::BadInput;
    }
    std::string report;
    google::protobuf::util::MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&report);
    static_cast<void>(differencer.Compare(*before, *after));
    std::cout << report;
    return ExitCode::Ok;
}

ExitCode generateLinkKeys(const Arguments & /*arguments*/, const Options & /*options*/)
{
    const auto keys = runtime::link::generateKeys();
    std::cout << boost::json::serialize(boost::json::object{{"public_key", keys.publicKey}, {"secret_key", keys.secretKey}}) << "\n";
    return ExitCode::Ok;
}

ExitCode hashApiKey(const Arguments &arguments, const Options & /*options*/)
{
    std::cout << hash::toHex(hash::asBytes(hash::plainDigest256(arguments[0]))) << "\n";
    return ExitCode::Ok;
}

} // namespace

SimpleCommand::SimpleCommand(const CommandText &text, std::size_t argumentCount, Handler handler)
    : m_text(text)
    , m_argumentCount(argumentCount)
    , m_handler(handler)
{
}

std::string_view SimpleCommand::name() const
{
    return m_text.name;
}

std::string_view SimpleCommand::usage() const
{
    return m_text.usage;
}

std::string SimpleCommand::help() const
{
    std::string help = "usage: burdockpaddle " + std::string(m_text.usage) + "\n\n";
    help += std::string(m_text.purpose) + "\n\nexample:\n  burdockpaddle " + std::string(m_text.example) + "\n";
    return help;
}

ExitCode SimpleCommand::run(const std::vector<std::string> &arguments, const Options &options)
{
    if (arguments.size() != m_argumentCount) {
        return fail(ExitCode::BadInput, "usage: burdockpaddle " + std::string(m_text.usage));
    }
    return m_handler(arguments, options);
}

void addBundleCommands(std::vector<std::unique_ptr<Command>> &commands)
{
    const auto add = commandAdder(commands);
    add({"bundle check", "bundle check FILE", "Names all faults of a bundle; exit code 2 if there are any.", "bundle check bundle.json"}, 1,
        checkBundle);
    add({"bundle sign", "bundle sign FILE --key=KEYFILE --out=SIGNED", "Checks and signs a bundle.",
         "bundle sign bundle.json --key=signing.key --out=signed.json"},
        1, signBundle);
    add({"bundle keygen", "bundle keygen --out=KEYFILE", "Makes a signing key; prints the public key for \"trusted_signers\".",
         "bundle keygen --out=signing.key"},
        0, generateSigningKey);
    add({"bundle show", "bundle show --platform=IP:PORT", "Prints the accepted bundle with all changes since.",
         "bundle show --platform=10.0.0.5:9000"},
        0, showBundle);
    add({"bundle diff", "bundle diff OLD NEW", "Prints what differs between two bundles.", "bundle diff bundle-7.json bundle-8.json"}, 2,
        diffBundles);
    add({"keys links", "keys links", "Prints a key pair for the links between processes, for \"links\" in their settings.", "keys links"},
        0, generateLinkKeys);
    add({"keys hash", "keys hash APIKEY", "Prints the \"api_key_hash\" of a customer's key.", "keys hash THE-API-KEY"}, 1, hashApiKey);
}

} // namespace burdock::ops::detail
