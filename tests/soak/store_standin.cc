#include "tests/soak/store_standin.h"

#include <sodium.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "src/transport/http_status.h"

namespace jacinthspool::testing {
namespace {

using json = nlohmann::json;

constexpr int kHistoryGone = 410;

std::string Base64(const std::string& bytes) {
  std::string text(sodium_base64_encoded_len(bytes.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
  sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char*>(bytes.data()),
                    bytes.size(), sodium_base64_VARIANT_ORIGINAL);
  text.pop_back();  // terminating zero
  return text;
}

std::string Encoded(const std::string& key, const std::string& value, std::uint64_t revision) {
  return json{{"key", key},
              {"value", Base64(value)},
              {"rev", revision},
              {"createRev", revision},
              {"lease", 0}}
      .dump();
}

/// \returns The reply with that list of JSON texts.
std::string ReplyWith(const std::string& list, const std::vector<std::string>& texts,
                      const json& others) {
  std::string reply = others.dump();
  reply.back() = ',';
  reply += '"' + list + "\":[";
  for (const std::string& each : texts) {
    reply += &each == &texts.front() ? "" : ",";
    reply += each;
  }
  return reply + "]}";
}

/// \returns The text with %XX decoded.
std::string Unescaped(const std::string& text) {
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    unsigned code = 0;
    if (text[at] == '%' && at + 2 < text.size() &&
        std::from_chars(&text[at + 1], &text[at + 1] + 2, code, 16).ptr == &text[at + 1] + 2) {
      plain += static_cast<char>(code);
      at += 2;
    } else {
      plain += text[at];
    }
  }
  return plain;
}

/// \returns The query parameter; empty if it is missing.
std::string Parameter(const std::string& target, const std::string& name) {
  for (const char* mark : {"?", "&"}) {
    const std::size_t at = target.find(mark + name + "=");
    if (at != std::string::npos) {
      const std::size_t begin = at + name.size() + 2;
      return Unescaped(target.substr(begin, target.find('&', begin) - begin));
    }
  }
  return "";
}

std::uint64_t NumberOf(const std::string& text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

store_standin::store_standin(event_loop& loop, timer_service& timers)
    : timers_(timers),
      server_(http1_server::Listen(
          {.loop = loop,
           .timers = timers,
           .address = "127.0.0.1:0",
           .on_request =
               [this](const http1_request& request, http1_responder answer) {
                 Handle(request, std::make_shared<any_answer>(std::move(answer)));
               }},
          error_)) {}

std::string store_standin::address() const {
  return "127.0.0.1:" + std::to_string(server_->port());
}

void store_standin::Put(const std::string& key, const std::string& value) {
  Change(key, {.value = value, .revision = ++content_.revision});
}

void store_standin::Remove(const std::string& key) {
  Change(key, {.value = "", .revision = ++content_.revision, .removed = true});
}

void store_standin::PutText(const std::string& key, const std::string& text) {
  Change(key, {.value = "", .revision = ++content_.revision, .text = text});
}

void store_standin::Change(const std::string& key, item state) {
  content_.history.push_back({.key = key, .state = state});
  if (state.removed) {
    content_.items.erase(key);
  } else {
    content_.items[key] = std::move(state);
  }
  NotifyWatches();
}

void store_standin::Compact() {
  content_.history.clear();
  oldest_known_ = content_.revision;
  // Aborts the watches; the next watch of a reader that had not caught up is answered with 410.
  for (waiting_watch& each : std::exchange(watches_, {})) {
    each.answer->Abort();
  }
}

void store_standin::SetBehaviour(behaviour next) {
  behaviour_ = next;
  if (next == behaviour::kServing) {
    unanswered_.clear();
    NotifyWatches();
  } else {
    for (waiting_watch& each : std::exchange(watches_, {})) {
      unanswered_.push_back(std::move(each.answer));
    }
  }
}

void store_standin::LoseWatches() {
  for (waiting_watch& each : std::exchange(watches_, {})) {
    lost_.push_back(std::move(each.answer));
  }
}

void store_standin::BackUp() { backup_ = content_; }

void store_standin::RestoreBackup() {
  lost_items_ = std::exchange(content_, backup_).items;
  restored_revision_ = content_.revision;
  ++era_;
  for (waiting_watch& each : std::exchange(watches_, {})) {
    each.answer->Abort();
  }
}

void store_standin::RewriteLostItems() {
  const auto written_since = [this](const std::string& key) {
    return std::any_of(content_.history.begin(), content_.history.end(), [&](const change& each) {
      return each.key == key && each.state.revision > restored_revision_;
    });
  };
  const std::map<std::string, item> lost = std::exchange(lost_items_, {});
  for (const auto& [key, state] : lost) {
    if (!written_since(key)) {
      Put(key, state.value);
    }
  }
  const std::map<std::string, item> known = content_.items;
  for (const auto& [key, state] : known) {
    if (!lost.contains(key) && !written_since(key)) {
      Remove(key);
    }
  }
}

void store_standin::Answer(any_answer& answer, int status, const std::string& body) const {
  answer.Reply(status, {{"Store-Era", reported_era_.value_or(std::to_string(era_))}}, body);
}

void store_standin::Handle(const http1_request& request,
                           const std::shared_ptr<any_answer>& answer) {
  ++calls_;
  if (behaviour_ == behaviour::kBusy) {
    Answer(*answer, http_status::kServiceUnavailable, "");
    return;
  }
  if (behaviour_ == behaviour::kSilent || (behaviour_ == behaviour::kDropping && calls_ % 2 == 0)) {
    unanswered_.push_back(answer);
    return;
  }
  const std::string& target = request.head.target;
  const std::string prefix = Parameter(target, "prefix");
  if (target.starts_with("/v1/kv-range")) {
    Range(prefix, Parameter(target, "after"), *answer);
  } else if (target.starts_with("/v1/kv-watch")) {
    Watch({.prefix = prefix, .after = NumberOf(Parameter(target, "after")), .answer = answer},
          milliseconds(static_cast<std::int64_t>(NumberOf(Parameter(target, "waitMs")))));
  } else {
    Answer(*answer, http_status::kNotFound, "");
  }
}

void store_standin::Range(const std::string& prefix, const std::string& after,
                          any_answer& answer) const {
  std::vector<std::string> items;
  bool more = false;
  for (const auto& [key, state] : content_.items) {
    if (!key.starts_with(prefix) || key <= after) {
      continue;
    }
    if (items.size() == page_size_) {
      more = true;
      break;
    }
    items.push_back(state.text.empty() ? Encoded(key, state.value, state.revision) : state.text);
  }
  Answer(answer, http_status::kOk,
         ReplyWith("items", items, {{"truncated", more}, {"storeRevision", content_.revision}}));
}

std::string store_standin::ChangesAfter(const waiting_watch& watch) const {
  std::vector<std::string> events;
  for (const auto& [key, state] : content_.history) {
    if (state.revision <= watch.after || !key.starts_with(watch.prefix)) {
      continue;
    }
    if (state.removed) {
      events.push_back(json{{"key", key}, {"rev", state.revision}, {"tombstone", true}}.dump());
    } else {
      events.push_back(state.text.empty() ? Encoded(key, state.value, state.revision) : state.text);
    }
  }
  return events.empty() ? "" : ReplyWith("events", events, {{"storeRevision", content_.revision}});
}

void store_standin::Watch(waiting_watch watch, milliseconds wait) {
  if (watch.after < oldest_known_ || watch.after > content_.revision) {
    Answer(*watch.answer, kHistoryGone, "");
    return;
  }
  if (const std::string changes = ChangesAfter(watch); !changes.empty()) {
    Answer(*watch.answer, http_status::kOk, changes);
    return;
  }
  watches_.push_back(std::move(watch));
  const auto place = std::prev(watches_.end());
  const bool cut = cut_after_ && *cut_after_ < wait;
  place->timeout = timers_.After(
      cut ? *cut_after_ : wait, [this, cut, answer = place->answer.get()](instant /*now*/) {
        const auto found = std::find_if(watches_.begin(), watches_.end(), [&](const auto& each) {
          return each.answer.get() == answer;
        });
        if (found != watches_.end()) {
          const std::shared_ptr<any_answer> open_answer = found->answer;
          watches_.erase(found);
          if (cut) {
            open_answer->Abort();
            return;
          }
          Answer(*open_answer, http_status::kOk,
                 json{{"events", json::array()}, {"storeRevision", content_.revision}}.dump());
        }
      });
}

void store_standin::NotifyWatches() {
  if (behaviour_ != behaviour::kServing) {
    return;
  }
  for (auto each = watches_.begin(); each != watches_.end();) {
    const std::string changes = ChangesAfter(*each);
    if (changes.empty()) {
      ++each;
      continue;
    }
    const std::shared_ptr<any_answer> open_answer = each->answer;
    each = watches_.erase(each);
    Answer(*open_answer, http_status::kOk, changes);
  }
}

}  // namespace jacinthspool::testing
