#include "tests/fuzz/oracle.h"

namespace jacinthspool::fuzz {

void oracle::Violation(const std::string& text) { violations_.push_back(text); }

oracle::accepted_request* oracle::FindOpen(request_id id, const std::string& what) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    Violation("answered twice: " + what + " for unknown request " + ToString(id));
    return nullptr;
  }
  if (!found->second.final_outcome.empty()) {
    Violation("answered twice: " + what + " after " + found->second.final_outcome + " of " +
              ToString(id));
    return nullptr;
  }
  return &found->second;
}

void oracle::CallerGone(request_id id, instant now) { requests_.at(id).caller_disconnected = now; }

void oracle::EntryLost(incarnation_id entry, instant now) {
  for (auto& [id, request] : requests_) {
    if (id.incarnation == entry && !request.caller_disconnected) {
      request.caller_disconnected = now;
      request.entry_lost = true;
    }
  }
}

void oracle::Executed(request_id id) {
  accepted_request& request = requests_.at(id);
  ++request.executions;
  if (request.final_outcome == "not run") {
    Violation("not run: " + ToString(id) + " ran after it was rejected as not run");
  }
  if (request.repeatable) {
    return;
  }
  if (request.executions > 1) {
    Violation("at most once: " + ToString(id) + " ran again");
  }
  if (!request.key.empty() && ++key_executions_[request.key] > 1) {
    Violation("at most once: key " + request.key + " ran again as " + ToString(id));
  }
}

void oracle::Delivered(request_id id, const std::string& text) {
  accepted_request* request = FindOpen(id, "piece");
  if (request == nullptr) {
    return;
  }
  const std::size_t sent = request->delivered.size();
  const bool matches =
      sent <= request->expected.size() && request->expected.compare(sent, text.size(), text) == 0;
  if (!matches && !request->mismatch_reported) {
    request->mismatch_reported = true;
    Violation("whole answer: " + ToString(id) + " got '" + text + "' at byte " +
              std::to_string(sent));
  }
  request->delivered += text;
}

void oracle::Done(request_id id) {
  accepted_request* request = FindOpen(id, "end");
  if (request == nullptr) {
    return;
  }
  if (request->delivered != request->expected && !request->mismatch_reported) {
    Violation("whole answer: " + ToString(id) + " ended after " +
              std::to_string(request->delivered.size()) + " of " +
              std::to_string(request->expected.size()) + " bytes");
  }
  request->final_outcome = "done";
}

void oracle::CallDone(request_id id, const std::string& body) {
  accepted_request* request = FindOpen(id, "call answer");
  if (request == nullptr) {
    return;
  }
  if (body != "answer to " + ToString(id) && request->key.empty()) {
    Violation("whole answer: " + ToString(id) + " got '" + body + "'");
  }
  request->final_outcome = "done";
}

void oracle::NotRun(request_id id) {
  accepted_request* request = FindOpen(id, "not run");
  if (request == nullptr) {
    return;
  }
  if (request->executions > 0) {
    Violation("not run: " + ToString(id) + " was rejected as not run, but had run");
  }
  request->final_outcome = "not run";
}

void oracle::Ended(request_id id, const std::string& outcome) {
  if (accepted_request* request = FindOpen(id, outcome)) {
    request->final_outcome = outcome;
  }
}

void oracle::CheckHolding(request_id id, const std::string& backend, instant now,
                          microseconds limit) {
  const accepted_request& request = requests_.at(id);
  if (request.caller_disconnected && now - *request.caller_disconnected > limit) {
    Violation("memory: " + backend + " holds memory for " + ToString(id) +
              ", whose caller has disconnected");
  }
}

void oracle::CheckAllAnswered() {
  for (const auto& [id, request] : requests_) {
    if (!request.caller_disconnected && request.final_outcome.empty()) {
      Violation("whole answer: " + ToString(id) + " has no final outcome");
    }
  }
}

std::map<std::string, std::size_t> oracle::outcomes() const {
  std::map<std::string, std::size_t> counts;
  for (const auto& [id, request] : requests_) {
    ++counts[request.caller_disconnected ? "caller gone" : request.final_outcome];
  }
  return counts;
}

}  // namespace jacinthspool::fuzz
