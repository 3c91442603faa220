#ifndef JACINTHSPOOL_GATEWAY_CREDIT_MESSAGES_H_
#define JACINTHSPOOL_GATEWAY_CREDIT_MESSAGES_H_

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "jacinthspool/routing/credit_lender.h"

namespace jacinthspool {

/// Where a gateway lends the credit of tenants, beside its snapshots.
inline constexpr std::string_view kCreditTarget = "/jacinthspool/credit";

struct credit_question {
  credit_member member = {};
  std::vector<credit_ask> asks = {};  ///< May be empty.
};

[[nodiscard]] std::string EncodeQuestion(const credit_question& question);
/// \returns Nothing when the bytes are no question, or hold an amount that none can be.
[[nodiscard]] std::optional<credit_question> DecodeQuestion(std::string_view bytes);

/// \param answers In the order of the asks.
[[nodiscard]] std::string EncodeAnswers(const std::vector<credit_answer>& answers);
/// \returns Nothing when the bytes are no answers, or hold an amount that none can be.
[[nodiscard]] std::optional<std::vector<credit_answer>> DecodeAnswers(std::string_view bytes);

}  // namespace jacinthspool

#endif  // JACINTHSPOOL_GATEWAY_CREDIT_MESSAGES_H_
