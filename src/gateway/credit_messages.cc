#include "src/gateway/credit_messages.h"

#include <algorithm>
#include <cmath>
#include <memory>

#include "schema/generated/credit_generated.h"
#include "src/gateway/flatbuffer_codec.h"

namespace jacinthspool {
namespace {

bool IsAmount(double value) { return std::isfinite(value) && value >= 0; }

}  // namespace

std::string EncodeQuestion(const credit_question& question) {
  credit::question_value wire;
  wire.gateway = question.member.name;
  wire.gateways = question.member.gateways;
  wire.homes = question.member.homes;
  for (const credit_ask& each : question.asks) {
    auto ask = std::make_shared<credit::ask_value>();
    ask->tenant = each.tenant;
    ask->version = each.version;
    ask->per_second = each.limit.per_second;
    ask->burst = each.limit.burst;
    ask->price = each.price;
    ask->ahead = each.ahead;
    ask->returned = each.returned;
    wire.asks.push_back(std::move(ask));
  }
  return EncodeTable<credit::question>(wire);
}

std::optional<credit_question> DecodeQuestion(std::string_view bytes) {
  auto wire = DecodeTable<credit::question>(bytes);
  if (!wire || wire->gateway.empty()) {
    return std::nullopt;
  }
  credit_question question{.member = {.name = std::move(wire->gateway),
                                      .gateways = wire->gateways,
                                      .homes = std::move(wire->homes)}};
  for (const auto& each : wire->asks) {
    if (!IsAmount(each->per_second) || !IsAmount(each->burst) || !IsAmount(each->price) ||
        !IsAmount(each->ahead) || !IsAmount(each->returned)) {
      return std::nullopt;
    }
    question.asks.push_back({.tenant = std::move(each->tenant),
                             .version = each->version,
                             .limit = {.per_second = each->per_second, .burst = each->burst},
                             .price = each->price,
                             .ahead = each->ahead,
                             .returned = each->returned});
  }
  return question;
}

std::string EncodeAnswers(const std::vector<credit_answer>& answers) {
  credit::reply_value wire;
  for (const credit_answer& each : answers) {
    auto answer = std::make_shared<credit::answer_value>();
    answer->granted = each.granted;
    answer->ahead = each.ahead;
    answer->wait_us = static_cast<std::uint64_t>(each.wait.count());
    answer->askers = each.askers;
    wire.answers.push_back(std::move(answer));
  }
  return EncodeTable<credit::reply>(wire);
}

std::optional<std::vector<credit_answer>> DecodeAnswers(std::string_view bytes) {
  constexpr std::uint64_t kLongestWait = 60'000'000;
  const auto wire = DecodeTable<credit::reply>(bytes);
  if (!wire) {
    return std::nullopt;
  }
  std::vector<credit_answer> answers;
  for (const auto& each : wire->answers) {
    if (!IsAmount(each->ahead)) {
      return std::nullopt;
    }
    answers.push_back({.granted = each->granted,
                       .ahead = each->ahead,
                       .wait = microseconds(std::min(each->wait_us, kLongestWait)),
                       .askers = each->askers});
  }
  return answers;
}

}  // namespace jacinthspool
