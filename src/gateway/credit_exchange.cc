#include "src/gateway/credit_exchange.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/transport/http_status.h"

namespace jacinthspool {
namespace {

constexpr milliseconds kAnswerTimeout = milliseconds(150);
constexpr std::size_t kMaxAnswerBytes = 1U << 20U;

}  // namespace

/// One message in progress.
class credit_exchange::message : public http1_call_listener {
 public:
  message(credit_exchange& owner, std::string home, std::vector<pending> taken)
      : asks(std::move(taken)), owner_(owner), home_(std::move(home)), sent_(timer_service::now()) {
    credit_question question{.member = owner.settings_.describe()};
    for (const pending& each : asks) {
      question.asks.push_back(each.ask);
    }
    const std::string body = EncodeQuestion(question);
    call_ = owner.settings_.client.Start(
        {.address = home_,
         .bytes = "POST " + std::string(kCreditTarget) + " HTTP/1.1\r\nHost: " + home_ +
                  "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
         .connect_timeout = kAnswerTimeout,
         .max_body_bytes = kMaxAnswerBytes},
        *this);
    timeout_ = owner.settings_.timers.After(kAnswerTimeout, [this](instant /*now*/) {
      call_.reset();
      End(std::nullopt);
    });
  }

  head_action OnHead(const http1_head& head) override {
    status_ = head.status;
    return head_action::kAccept;
  }
  void OnBody(std::string_view bytes) override { body_ += bytes; }
  void OnEnd(call_outcome end, const std::string& /*reason*/) override {
    // After a suspension an answer is as old as that, whichever of the two is noticed first.
    const bool in_time = timer_service::now() - sent_ <= 2 * kAnswerTimeout;
    End(end == call_outcome::kWhole && status_ == http_status::kOk && in_time ? DecodeAnswers(body_)
                                                                              : std::nullopt);
  }

  std::vector<pending> asks;

 private:
  void End(std::optional<std::vector<credit_answer>> answers) {
    timeout_.Cancel();
    if (answers && answers->size() != asks.size()) {
      answers.reset();
    }
    owner_.OnEnded(home_, std::move(answers));
  }

  credit_exchange& owner_;
  std::string home_;
  instant sent_;
  std::unique_ptr<http1_call> call_;
  timer_subscription timeout_;
  int status_ = 0;
  std::string body_;
};

credit_exchange::credit_exchange(options settings) : settings_(std::move(settings)) {}
credit_exchange::~credit_exchange() = default;

void credit_exchange::Ask(const std::string& home, credit_ask ask, on_answer then) {
  waiting_[home].push_back({std::move(ask), std::move(then)});
  Send(home);
}

void credit_exchange::Greet(const std::string& home) { Send(home); }

void credit_exchange::Send(const std::string& home) {
  if (std::unique_ptr<message>& open = open_[home]; !open) {
    open = std::make_unique<message>(*this, home, std::exchange(waiting_[home], {}));
  }
}

void credit_exchange::OnEnded(const std::string& home,
                              std::optional<std::vector<credit_answer>> answers) {
  // The message is still on the stack, so it is destroyed by the event loop.
  std::shared_ptr<message> ended = std::move(open_[home]);
  std::vector<pending> told = std::move(ended->asks);
  settings_.loop.Post([ended = std::move(ended)] {});
  if (answers) {
    settings_.on_contact(home);
  } else {
    settings_.on_no_answer(home);
    std::vector<pending>& waiting = waiting_[home];
    std::move(waiting.begin(), waiting.end(), std::back_inserter(told));
    waiting.clear();
  }
  if (!waiting_[home].empty()) {
    Send(home);
  }
  for (std::size_t i = 0; i < told.size(); ++i) {
    told[i].then(answers ? std::optional((*answers)[i]) : std::nullopt);
  }
}

}  // namespace jacinthspool
