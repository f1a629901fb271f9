#include <burdock/ops/command.hpp>

#include <algorithm>
#include <csignal>
#include <gflags/gflags.h>
#include <iostream>
#include <sodium.h>
#include <string>
#include <vector>

DEFINE_string(platform, "127.0.0.1:9000", "IP:port of the platform's object API");
DEFINE_string(key, "", "path of the signing key file");
DEFINE_string(out, "", "path of the output file");
DEFINE_string(output, "table", "table or json");
DEFINE_bool(watch, false, "refresh the status every two seconds");
DEFINE_uint32(patience_ms, 30'000, "how long to wait until all processes have applied a rollout, in milliseconds");

int main(int argc, char **argv)
{
    // gflags does not support subcommands, and its own --help lists the flags of all linked libraries.
    const std::vector<std::string> words(argv + 1, argv + argc);
    if (std::find(words.begin(), words.end(), "--help") != words.end()) {
        return static_cast<int>(burdock::ops::showHelp(words));
    }
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::signal(SIGPIPE, SIG_IGN);
    if (sodium_init() < 0 || (FLAGS_output != "table" && FLAGS_output != "json")) {
        std::cerr << "burdockpaddle: --output must be table or json\n";
        return static_cast<int>(burdock::ops::ExitCode::BadInput);
    }
    const burdock::ops::Options options{FLAGS_platform, FLAGS_key, FLAGS_out, FLAGS_output == "json", FLAGS_watch, FLAGS_patience_ms};
    return static_cast<int>(burdock::ops::runCommand({argv + 1, argv + argc}, options));
}
