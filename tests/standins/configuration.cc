#include "tests/standins/configuration.h"

#include <sodium.h>

#include <utility>
#include <vector>

namespace jacinthspool::standins {
namespace {

constexpr std::string_view kReadPath = "/v1/kv/";
constexpr seconds kMaxWait(600);
constexpr seconds kDefaultWait(300);

std::string Base64(const std::string& text) {
  std::vector<char> encoded(sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL));
  sodium_bin2base64(encoded.data(), encoded.size(),
                    reinterpret_cast<const unsigned char*>(text.data()), text.size(),
                    sodium_base64_VARIANT_ORIGINAL);
  return encoded.data();
}

/// Parses the "wait" parameter of a blocking query: "30s", "500ms" or "2m".
milliseconds WaitOf(const std::string& text) {
  if (text.empty()) {
    return kDefaultWait;
  }
  char* unit = nullptr;
  const auto count = static_cast<std::int64_t>(std::strtoull(text.c_str(), &unit, 10));
  milliseconds wait = seconds(count);
  if (std::string_view(unit) == "ms") {
    wait = milliseconds(count);
  } else if (std::string_view(unit) == "m") {
    wait = std::chrono::minutes(count);
  }
  return std::min<milliseconds>(wait, kMaxWait);
}

}  // namespace

configuration::configuration(standin_context context) : context_(context) {
  history_[1] = current_;
}

void configuration::Handle(const exchange_ptr& exchange) {
  const std::string& path = exchange->path();
  if (path.starts_with(kReadPath)) {
    Read(exchange);
  } else if (path == "/health") {
    ReplyJson(*exchange, 200, nlohmann::json::object());
  } else if (path == "/standin/faults") {
    ChangeFaults(exchange);
  } else if (path == "/standin/counters") {
    ReplyJson(*exchange, 200, {{"reads", reads_}, {"watches", watches_.size()}});
  } else {
    Change(exchange, path);
  }
}

void configuration::Read(const exchange_ptr& exchange) {
  ++reads_;
  std::map<std::string, std::string> query = QueryOf(exchange->target());
  const std::uint64_t index = std::strtoull(query["index"].c_str(), nullptr, 10);
  if (faults_.down || index == 0 || index < shown().index) {
    Answer(exchange);
    return;
  }
  const watch_id id = ++last_watch_;
  exchange->OnCallerDisconnected([this, id] { watches_.erase(id); });
  watch& added = watches_[id];
  added.exchange = exchange;
  added.index = index;
  added.limit = PostAfter(context_, WaitOf(query["wait"]), [this, id] {
    const auto found = watches_.find(id);
    if (found != watches_.end()) {
      const exchange_ptr waiting = found->second.exchange;
      watches_.erase(found);
      Answer(waiting);
    }
  });
}

void configuration::Answer(const exchange_ptr& exchange) {
  if (faults_.down) {
    ReplyError(*exchange, 500, "No cluster leader");
    return;
  }
  const bool recurse = QueryOf(exchange->target()).contains("recurse");
  const std::string key = exchange->path().substr(kReadPath.size());
  nlohmann::json found = nlohmann::json::array();
  for (const auto& [name, each] : shown().entries) {
    if (recurse ? name.starts_with(key) : name == key) {
      found.push_back({{"Key", name},
                       {"Value", Base64(each.value)},
                       {"Flags", 0},
                       {"LockIndex", 0},
                       {"CreateIndex", 1},
                       {"ModifyIndex", each.modified}});
    }
  }
  exchange->Reply(
      found.empty() ? 404 : 200,
      {{"Content-Type", "application/json"}, {"X-Consul-Index", std::to_string(shown().index)}},
      found.empty() ? std::string() : found.dump());
}

void configuration::Change(const exchange_ptr& exchange, const std::string& path) {
  std::map<std::string, std::string> query = QueryOf(exchange->target());
  if (path == "/standin/put") {
    ++current_.index;
    current_.entries[query["key"]] = {.value = exchange->body(), .modified = current_.index};
  } else if (path == "/standin/delete") {
    ++current_.index;
    current_.entries.erase(query["key"]);
  } else if (path == "/standin/rollback") {
    const auto found = history_.find(std::strtoull(query["index"].c_str(), nullptr, 10));
    if (found == history_.end()) {
      ReplyError(*exchange, 404, "no such index");
      return;
    }
    current_ = found->second;
  } else {
    ReplyError(*exchange, 404, "unknown path");
    return;
  }
  history_[current_.index] = current_;
  ReplyJson(*exchange, 200, {{"index", current_.index}});
  WakeWatches();
}

void configuration::ChangeFaults(const exchange_ptr& exchange) {
  const bool was_stale = faults_.stale;
  UpdateFaults(*exchange, faults_);
  if (faults_.stale && !was_stale) {
    stale_ = current_;
  }
  WakeWatches();
}

void configuration::WakeWatches() {
  std::vector<exchange_ptr> woken;
  for (auto at = watches_.begin(); at != watches_.end();) {
    const auto current = at++;
    if (faults_.down || current->second.index != shown().index) {
      woken.push_back(current->second.exchange);
      watches_.erase(current);
    }
  }
  for (const exchange_ptr& exchange : woken) {
    Answer(exchange);
  }
}

}  // namespace jacinthspool::standins
