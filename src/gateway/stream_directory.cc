#include "src/gateway/stream_directory.h"

#include <algorithm>
#include <utility>
#include <variant>

#include "jacinthspool/impl/rendezvous.h"
#include "src/telemetry/log.h"

namespace jacinthspool {
namespace {

/// Gateways that remember a stream, beside the one that began it.
constexpr std::size_t kHomes = 3;
/// A gateway that is silent is asked again after this time, since datagrams may be lost.
constexpr milliseconds kAskAgainAfter = milliseconds(60);
/// A list that was confirmed within this time counts as current where that is no proof.
constexpr milliseconds kListAge = seconds(3);
/// Counted, as a process that stood still has let time pass without reading the answers.
constexpr int kMaxAsks = 4;

}  // namespace

stream_directory::~stream_directory() = default;

bool stream_directory::Open(const std::string& address, std::string& error) {
  address_ = address;
  socket_ = datagram_socket::Bind(
      {.loop = context_.loop,
       .address = address,
       .on_datagram = [this](const std::string& from,
                             std::string_view bytes) { OnDatagram(from, bytes); }},
      error);
  return socket_ != nullptr;
}

std::vector<std::string> stream_directory::HomesOf(std::uint64_t stream, std::size_t most) const {
  std::vector<std::string> homes;
  if (!socket_) {
    return homes;
  }
  for (const std::size_t index : RendezvousOrder(stream, members_)) {
    if (homes.size() == most) {
      break;
    }
    if (members_[index] != address_) {
      homes.push_back(members_[index]);
    }
  }
  return homes;
}

void stream_directory::OnBegun(const std::string& id, const stream_origin& origin,
                               milliseconds life) {
  if (id.empty() || origin.software.empty()) {
    return;
  }
  const std::uint64_t stream = HashKey(id);
  known_.Note(stream, origin, life, timer_service::now());
  const std::string bytes =
      EncodeStreamMessage(stream_told{.stream = stream, .origin = origin, .life = life});
  for (const std::string& home : HomesOf(stream, kHomes)) {
    context_.metrics.Count("gateway_stream_origins_told",
                           {{"sent", socket_->Send(home, bytes) ? "yes" : "no"}});
  }
}

origin_knowledge stream_directory::Own(std::uint64_t stream, std::string_view service,
                                       const software_history::period& begun) const {
  const instant now = timer_service::now();
  const stream_origins::entry* entry = known_.Find(stream, now);
  if (entry == nullptr) {
    return history_.EvidenceOf(service, begun);
  }
  return {.evidence = entry->contested ? origin_evidence::kContested : origin_evidence::kNoted,
          .origin = entry->origin,
          .age = std::chrono::duration_cast<milliseconds>(now - entry->noted)};
}

origin_knowledge stream_directory::Own(const question& asked) const {
  const instant oldest = asked.asked - asked.wanted.oldest;
  if (asked.wanted.stream.empty()) {
    return history_.EvidenceOf(asked.wanted.service,
                               {.oldest = oldest, .newest = asked.asked - kListAge});
  }
  return Own(asked.stream, asked.wanted.service, {.oldest = oldest, .newest = asked.asked});
}

void stream_directory::Find(resumption wanted, http1_responder answer, on_found then) {
  const bool named = !wanted.stream.empty();
  const std::uint64_t stream = HashKey(named ? wanted.stream : wanted.request);
  // The gateway that began it may be one of the first.
  const std::vector<std::string> homes = HomesOf(stream, kHomes + 1);
  const std::uint64_t number = ++last_question_;
  answer.OnCallerDisconnected([this, number, request = wanted.request] {
    Log(log_level::kInfo, "caller_left_before_origin", {{"request", request}});
    questions_.erase(number);
  });
  question& asked =
      questions_
          .emplace(number,
                   question{.wanted = std::move(wanted),
                            .stream = stream,
                            .answer = std::move(answer),
                            .then = std::move(then),
                            .verdict = origin_verdict({}, {.named = named, .others = homes.size()}),
                            .others = homes.size(),
                            .silent = {homes.begin(), homes.end()},
                            .asked = timer_service::now()})
          .first->second;
  const origin_knowledge own = Own(asked);
  asked.verdict.SetOwn(own);
  if (asked.verdict.settled()) {
    Conclude(number);
    return;
  }
  if (named && own.evidence == origin_evidence::kSeenVersion && context_.confirm_list) {
    context_.confirm_list();
  }
  Ask(number);
}

void stream_directory::OnListConfirmed() {
  std::vector<std::uint64_t> settled;
  for (auto& [number, asked] : questions_) {
    if (!asked.wanted.stream.empty()) {
      asked.verdict.SetOwn(Own(asked));
      if (asked.verdict.settled()) {
        settled.push_back(number);
      }
    }
  }
  for (const std::uint64_t number : settled) {
    if (questions_.contains(number)) {
      Conclude(number);
    }
  }
}

void stream_directory::Ask(std::uint64_t number) {
  question& asked = questions_.at(number);
  ++asked.asks;
  const std::string bytes = EncodeStreamMessage(
      stream_asked{.question = number,
                   .stream = asked.stream,
                   .service = asked.wanted.service,
                   .within = std::chrono::ceil<milliseconds>(asked.wanted.oldest)});
  for (const std::string& home : asked.silent) {
    (void)socket_->Send(home, bytes);  // One that cannot be reached is silent.
  }
  asked.timer =
      context_.timers.After(kAskAgainAfter, [this, number](instant /*now*/) { OnSilence(number); });
}

void stream_directory::OnSilence(std::uint64_t number) {
  if (questions_.at(number).asks < kMaxAsks) {
    Ask(number);
  } else {
    Conclude(number);
  }
}

void stream_directory::Conclude(std::uint64_t number) {
  auto node = questions_.extract(number);
  question& ended = node.mapped();
  ended.timer.Cancel();
  ended.answer.OnCallerDisconnected({});
  ended.then({.origin = ended.verdict.Conclude(),
              .asked = ended.others,
              .silent = ended.silent.size(),
              .took = timer_service::now() - ended.asked},
             std::move(ended.answer));
}

void stream_directory::OnDatagram(const std::string& from, std::string_view bytes) {
  if (const auto message = DecodeStreamMessage(bytes)) {
    std::visit([&](const auto& each) { OnMessage(from, each); }, *message);
  } else {
    context_.metrics.Count("gateway_stream_messages_unreadable");
  }
}

void stream_directory::OnMessage(const std::string& /*from*/, const stream_told& told) {
  if (!told.origin.software.empty()) {
    known_.Note(told.stream, told.origin, told.life, timer_service::now());
  }
}

void stream_directory::OnMessage(const std::string& from, const stream_asked& asked) {
  const instant now = timer_service::now();
  (void)socket_->Send(
      from, EncodeStreamMessage(stream_answered{
                .question = asked.question,
                .stream = asked.stream,
                .knowledge = Own(asked.stream, asked.service,
                                 {.oldest = now - asked.within, .newest = now - kListAge})}));
}

void stream_directory::OnMessage(const std::string& from, const stream_answered& answered) {
  const auto found = questions_.find(answered.question);
  if (found == questions_.end() || found->second.stream != answered.stream ||
      found->second.silent.erase(from) == 0) {
    return;  // It answers a question of an earlier process, or is a second answer.
  }
  found->second.verdict.OnAnswer(answered.knowledge);
  if (found->second.verdict.settled()) {
    Conclude(answered.question);
  }
}

}  // namespace jacinthspool
