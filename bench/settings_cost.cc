// Measures the cost of settings for one process: memory and time to load the
// documents of many teams, time to apply one change, and time to process a
// reply of the configuration service that changes nothing. Prints one JSON line.
#include <malloc.h>
#include <sodium.h>
#include <sys/resource.h>
#include <tclap/CmdLine.h>

#include <cstdint>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "src/settings/consul_reply.h"
#include "src/settings/settings_store.h"

namespace jacinthspool {
namespace {

struct settings_cost_options {
  std::uint64_t workspaces;
  std::uint64_t teams;
  std::uint64_t changes;
};

/// \returns User and system processor time that this process has used so far.
microseconds ProcessorTime() {
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  const auto of = [](const timeval& value) {
    return seconds(value.tv_sec) + microseconds(value.tv_usec);
  };
  return of(usage.ru_utime) + of(usage.ru_stime);
}

/// \returns Heap bytes in use, including memory-mapped allocations.
std::int64_t HeapBytes() {
  const struct mallinfo2 heap = mallinfo2();
  return static_cast<std::int64_t>(heap.uordblks + heap.hblkhd);
}

/// \returns Peak resident size of this process, in bytes.
std::int64_t PeakResidentBytes() {
  constexpr std::int64_t kBytesPerUnit = 1024;
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss * kBytesPerUnit;
}

std::string TeamDocument(std::uint64_t revision, std::uint64_t team, std::uint64_t workspaces) {
  std::string text = "{\"revision\": " + std::to_string(revision) +
                     ", \"models\": [{\"model\": \"m\", \"prefill_pool\": \"p\", "
                     "\"decode_pool\": \"d\"}], \"workspaces\": [";
  for (std::uint64_t i = 0; i < workspaces; ++i) {
    text += std::string(i == 0 ? "" : ",") + "{\"name\":\"workspace-" + std::to_string(team) + "-" +
            std::to_string(i) + "\"}";
  }
  return text + "]}";
}

std::string TeamPath(std::uint64_t team) { return "teams/team-" + std::to_string(team); }

std::string Base64(const std::string& text) {
  std::vector<char> encoded(sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL));
  sodium_bin2base64(encoded.data(), encoded.size(),
                    reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  return encoded.data();
}

/// \returns The reply of the configuration service to a read of all documents.
std::string ServiceReply(const std::vector<std::string>& documents) {
  nlohmann::json reply = nlohmann::json::array();
  for (std::uint64_t team = 0; team < documents.size(); ++team) {
    reply.push_back(
        {{"Key", "jacinthspool/" + TeamPath(team)}, {"Value", Base64(documents[team])}});
  }
  return reply.dump();
}

class settings_cost {
 public:
  explicit settings_cost(const settings_cost_options& options) : options_(options) {
    for (std::uint64_t team = 0; team < options_.teams; ++team) {
      documents_.push_back(TeamDocument(1, team, options_.workspaces / options_.teams));
    }
    reply_ = ServiceReply(documents_);
  }

  /// \returns false if the settings store did not accept a document.
  bool Run() {
    result_["workspaces"] = options_.workspaces;
    result_["teams"] = options_.teams;
    result_["changes"] = options_.changes;
    result_["reply_bytes"] = reply_.size();
    const bool accepted = Load() && Change();
    ProcessUnchangedReplies();
    result_["peak_resident_bytes"] = PeakResidentBytes();
    return accepted;
  }

  [[nodiscard]] const nlohmann::json& result() const { return result_; }

 private:
  bool Load() {
    const std::int64_t heap = HeapBytes();
    const std::int64_t resident = PeakResidentBytes();
    const microseconds start = ProcessorTime();
    std::size_t bytes = 0;
    bool accepted = true;
    for (std::uint64_t team = 0; team < options_.teams; ++team) {
      accepted = store_.Offer(TeamPath(team), documents_[team]) && accepted;
      bytes += documents_[team].size();
    }
    result_["document_bytes"] = bytes;
    result_["load_us"] = (ProcessorTime() - start).count();
    result_["heap_bytes"] = HeapBytes() - heap;
    result_["load_peak_resident_bytes"] = PeakResidentBytes() - resident;
    return accepted;
  }

  bool Change() {
    std::vector<std::string> changed;
    for (std::uint64_t i = 0; i < options_.changes; ++i) {
      changed.push_back(
          TeamDocument(2 + i, i % options_.teams, options_.workspaces / options_.teams));
    }
    const microseconds start = ProcessorTime();
    bool accepted = true;
    for (std::uint64_t i = 0; i < options_.changes; ++i) {
      accepted = store_.Offer(TeamPath(i % options_.teams), changed[i]) && accepted;
    }
    result_["change_us"] = PerChange(start);
    return accepted;
  }

  /// Processes replies that contain only the documents that are already in force.
  void ProcessUnchangedReplies() {
    settings_store in_force({});
    for (std::uint64_t team = 0; team < options_.teams; ++team) {
      in_force.Offer(TeamPath(team), documents_[team]);
    }
    const microseconds start = ProcessorTime();
    for (std::uint64_t i = 0; i < options_.changes; ++i) {
      const auto published = ParseConsulReply(reply_, "jacinthspool");
      for (const published_document& document : *published) {
        in_force.Offer(document.path, document.text);
      }
    }
    result_["look_through_us"] = PerChange(start);
  }

  [[nodiscard]] double PerChange(microseconds start) const {
    return static_cast<double>((ProcessorTime() - start).count()) /
           static_cast<double>(options_.changes);
  }

  settings_cost_options options_;
  std::vector<std::string> documents_;
  std::string reply_;
  settings_store store_{{}};
  nlohmann::json result_;
};

int Run(const settings_cost_options& options) {
  settings_cost cost(options);
  const bool accepted = cost.Run();
  std::cout << cost.result().dump() << '\n';
  return accepted ? 0 : 1;
}

}  // namespace
}  // namespace jacinthspool

int main(int argc, char** argv) try {
  TCLAP::CmdLine line("Measures what settings cost one process; prints one JSON line");
  TCLAP::ValueArg<std::uint64_t> workspaces("w", "workspaces", "Workspaces of all teams", false,
                                            34000, "NUMBER", line);
  TCLAP::ValueArg<std::uint64_t> teams("t", "teams", "Teams that share them equally", false, 34,
                                       "NUMBER", line);
  TCLAP::ValueArg<std::uint64_t> changes("c", "changes", "Changes, each of one team", false, 100,
                                         "NUMBER", line);
  line.parse(argc, argv);
  if (teams.getValue() == 0 || changes.getValue() == 0) {
    std::cerr << "settings_cost: --teams and --changes must be 1 or more\n";
    return 2;
  }
  return jacinthspool::Run({.workspaces = workspaces.getValue(),
                            .teams = teams.getValue(),
                            .changes = changes.getValue()});
} catch (const std::exception& failure) {
  std::cerr << failure.what() << '\n';
  return 1;
}
