#include "tests/routing/crash_fleet.h"

#include <algorithm>
#include <utility>

#include "jacinthspool/impl/overloaded.h"

namespace jacinthspool::testing {
namespace {

constexpr std::size_t kCallers = 8;
constexpr std::size_t kMiddleParts = 40;
constexpr std::size_t kDocuments = 200;
constexpr prompt_part kCompanion = 0xC0;
constexpr std::size_t kMaxAttempts = 3;
constexpr double kPrefillShare = 0.5;
constexpr microseconds kTick = milliseconds(100);
constexpr std::size_t kPartCrashesBeforeBound = 5;
constexpr std::size_t kRequestCrashesBeforeBound = 3;

prompt_part Caller(std::size_t caller) { return 0xCA000000 + caller; }

}  // namespace

crash_fleet::crash_fleet(const crash_scenario& scenario)
    : scenario_(scenario), random_(scenario.seed), bad_(scenario.bad.size()) {
  for (std::size_t i = 0; i < scenario_.servers; ++i) {
    servers_.push_back({.name = {"i-" + std::to_string(next_server_++), 1}});
  }
  members_.resize(scenario_.gateways);
  for (std::size_t i = 0; i < members_.size(); ++i) {
    members_[i].name = "g" + std::to_string(i);
    StartGateway(i);
    members_[i].last_disruption = {};
  }
  After(Exponential(scenario_.sound_per_second), [this] { ArriveSound(); });
  for (std::size_t i = 0; i < scenario_.bad.size(); ++i) {
    At(scenario_.bad_from + Between(seconds(0), seconds(3)), [this, i] { ArriveBad(i); });
  }
}

void crash_fleet::At(microseconds time, std::function<void()> action) {
  events_.push({.at = start_ + time, .number = next_number_++, .action = std::move(action)});
}

void crash_fleet::After(microseconds wait, std::function<void()> action) {
  events_.push({.at = now_ + wait, .number = next_number_++, .action = std::move(action)});
}

void crash_fleet::Run() {
  while (!events_.empty() && events_.top().at < start_ + scenario_.end) {
    event next = events_.top();
    events_.pop();
    now_ = next.at;
    next.action();
  }
}

microseconds crash_fleet::Between(microseconds least, microseconds most) {
  return microseconds(
      std::uniform_int_distribution<std::int64_t>(least.count(), most.count())(random_));
}

microseconds crash_fleet::Exponential(double per_second) {
  const std::chrono::duration<double> wait(
      std::exponential_distribution<double>(per_second)(random_));
  return std::chrono::duration_cast<microseconds>(wait) + microseconds(1);
}

bool crash_fleet::Chance(double share) { return std::bernoulli_distribution(share)(random_); }

crash_quarantine& crash_fleet::quarantine(std::size_t gateway) {
  return *members_[gateway].quarantine;
}

void crash_fleet::StartGateway(std::size_t index) {
  member& each = members_[index];
  each.up = true;
  ++each.life;
  each.quarantine = std::make_unique<crash_quarantine>(crash_quarantine::options{
      .gateway = each.name, .has_peers = members_.size() > 1, .started = now_});
  each.refused.clear();
  each.next_query = now_;
  each.last_disruption = now_;
  After(Between(microseconds(0), kTick), [this, index, life = each.life] { Tick(index, life); });
}

void crash_fleet::Kill(std::size_t gateway, microseconds down) {
  member& each = members_[gateway];
  if (!each.up) {
    return;
  }
  each.up = false;
  ++each.life;
  each.last_disruption = now_ + down;
  for (server& one : servers_) {
    std::erase_if(one.running, [&](const auto& sent) { return sent->gateway == gateway; });
  }
  After(down, [this, gateway] { StartGateway(gateway); });
}

void crash_fleet::CutOff(std::size_t gateway, microseconds time) {
  members_[gateway].cut_until = std::max(members_[gateway].cut_until, now_ + time);
}

void crash_fleet::ResetConnections(std::size_t gateway) {
  members_[gateway].last_disruption = now_;
  for (server& one : servers_) {
    const auto running = one.running;
    for (const auto& sent : running) {
      if (sent->gateway == gateway) {
        one.running.erase(sent);
        OnCut(sent);
      }
    }
  }
}

void crash_fleet::EndServers(double share) {
  std::vector<std::size_t> order(servers_.size());
  for (std::size_t i = 0; i < order.size(); ++i) {
    order[i] = i;
  }
  std::shuffle(order.begin(), order.end(), random_);
  order.resize(static_cast<std::size_t>(share * static_cast<double>(order.size())));
  for (const std::size_t one : order) {
    EndServer(one);
  }
}

void crash_fleet::EndServer(std::size_t index) {
  server& ended = servers_[index];
  if (!ended.up) {
    return;
  }
  ended.up = false;
  const auto running = std::exchange(ended.running, {});
  for (const auto& sent : running) {
    sent->over = true;
    After(Between(milliseconds(1), milliseconds(5)), [this, sent] { OnCut(sent); });
  }
  const backend_incarnation gone = ended.name;
  After(Between(milliseconds(2000), milliseconds(3000)), [this, index, gone] {
    servers_[index].listed = false;
    for (member& each : members_) {
      if (each.up && scenario_.quarantine) {
        each.quarantine->OnServerEnd(gone, end_sign::kDeregistered, {}, now_);
      }
    }
  });
  After(Between(milliseconds(3100), milliseconds(4500)), [this, index] {
    server& back = servers_[index];
    if (Chance(0.9)) {
      back.name.backend = "i-" + std::to_string(next_server_++);
    }
    ++back.name.started_ms;
    back.up = true;
    back.listed = true;
  });
}

void crash_fleet::SetFashion(bool on) { fashion_ = on ? next_document_++ : 0; }

void crash_fleet::ArriveSound() {
  After(Exponential(scenario_.sound_per_second), [this] { ArriveSound(); });
  const std::size_t gateway = random_() % members_.size();
  if (!members_[gateway].up) {
    return;
  }
  // The first caller sends half of the requests, the second half of the others, and so on.
  std::size_t caller = 0;
  while (caller + 1 < kCallers && Chance(0.5)) {
    ++caller;
  }
  const prompt_part middle = 0xA0000000 + caller * kMiddleParts + random_() % kMiddleParts;
  const prompt_part document = fashion_ != 0 && Chance(0.3) ? fashion_
                               : Chance(scenario_.new_document_share)
                                   ? next_document_++
                                   : 0xB0000000 + caller * kDocuments + random_() % kDocuments;
  ++sound_;
  auto work = std::make_shared<request>();
  work->parts = {Caller(caller), middle, document};
  work->first_caller = caller == 0;
  work->companion = caller == 0 && Chance(scenario_.companion_share);
  if (work->companion) {
    work->parts[1] = kCompanion;
  }
  work->parts.emplace_back(NewDigest());
  work->arrived = now_;
  Send(gateway, work);
}

void crash_fleet::ArriveBad(std::size_t index) {
  After(Exponential(scenario_.bad_per_second), [this, index] { ArriveBad(index); });
  const std::size_t gateway = random_() % members_.size();
  if (!members_[gateway].up) {
    return;
  }
  auto work = std::make_shared<request>();
  work->parts = {Caller(0), 0xA0000000 + random_() % kMiddleParts,
                 Chance(scenario_.new_document_share) ? next_document_++
                                                      : 0xB0000000 + random_() % kDocuments};
  if (scenario_.companion_share > 0) {
    work->parts[1] = kCompanion;
  }
  if (scenario_.bad[index] == part_place::kWholeRequest) {
    work->parts = {Caller(0), 0xA0000000 + index, 0xB0000000 + index, BadRequest(index)};
  } else {
    work->parts[static_cast<std::size_t>(scenario_.bad[index])] = BadPart(index);
    work->parts.emplace_back(NewDigest());
  }
  work->bad = static_cast<int>(index);
  work->arrived = now_;
  Send(gateway, work);
}

bool crash_fleet::InTouch(const member& each) const {
  return now_ - std::max(each.last_disruption, each.cut_until) >= kTouch;
}

void crash_fleet::Count(const request& work, bool answered) {
  if (work.first_caller) {
    first_caller_[work.arrived] = answered;
  }
  if (work.companion) {
    companion_[work.arrived] = answered;
  }
}

void crash_fleet::Send(std::size_t gateway, const std::shared_ptr<request>& work) {
  member& from = members_[gateway];
  bool trial = false;
  if (scenario_.quarantine) {
    const quarantine_verdict verdict = from.quarantine->Check(work->parts, now_);
    const bool admitted =
        std::visit(overloaded{[](const request_admitted&) { return true; },
                              [&](const request_trial& allowed) {
                                trial = work->attempts == 0 && !work->prefilled;
                                if (trial) {
                                  from.quarantine->OnTrial(allowed.evidence.suspect, now_);
                                }
                                return trial;
                              },
                              [&](const request_held&) {
                                sound_held_ += work->bad < 0 ? 1 : 0;
                                return false;
                              },
                              [&](const request_unknown&) {
                                sound_unknown_ += work->bad < 0 ? 1 : 0;
                                return false;
                              }},
                   verdict);
    if (!admitted) {
      Count(*work, false);
      return;
    }
  }
  std::vector<std::size_t> listed;
  for (std::size_t i = 0; i < servers_.size(); ++i) {
    if (servers_[i].listed && !from.refused.contains(servers_[i].name)) {
      listed.push_back(i);
    }
  }
  while (!listed.empty()) {
    const std::size_t pick = random_() % listed.size();
    server& to = servers_[listed[pick]];
    if (!to.up) {
      from.refused.insert(to.name);
      if (scenario_.quarantine) {
        from.quarantine->OnServerEnd(to.name, end_sign::kRefused, {}, now_);
      }
      listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(pick));
      continue;
    }
    auto sent = std::make_shared<attempt>();
    sent->gateway = gateway;
    sent->number = next_number_++;
    sent->name = to.name;
    sent->server = listed[pick];
    sent->life = from.life;
    sent->work = work;
    sent->prefill = !trial && !work->prefilled && work->attempts == 0 && Chance(kPrefillShare);
    to.running.insert(sent);
    if (work->bad >= 0) {
      bad_part_figures& figures = bad_[static_cast<std::size_t>(work->bad)];
      ++figures.sends;
      const std::size_t bound = CrashesBeforeBound(static_cast<std::size_t>(work->bad));
      if (figures.crashes.size() >= bound && now_ >= figures.crashes[bound - 1] + kTouch) {
        ++figures.late_sends_any;
        figures.late_sends += InTouch(from) ? 1 : 0;
      }
    }
    const microseconds queued = milliseconds(30) + Exponential(1 / 0.08);
    if (sent->prefill) {
      After(queued, [this, sent] {
        End(sent);
        if (!std::exchange(sent->over, true) && members_[sent->gateway].life == sent->life) {
          sent->work->prefilled = true;
          Send(sent->gateway, sent->work);
        }
      });
    } else {
      ++work->attempts;
      After(queued, [this, sent] { Begin(sent); });
    }
    return;
  }
  Count(*work, false);
}

void crash_fleet::Begin(const std::shared_ptr<attempt>& sent) {
  server& at = servers_[sent->server];
  if (sent->over || !at.running.contains(sent)) {
    return;
  }
  if (sent->work->bad >= 0) {
    bad_[static_cast<std::size_t>(sent->work->bad)].crashes.push_back(now_);
    EndServer(sent->server);
    return;
  }
  sent->begun = true;
  const instant end = now_ + Between(milliseconds(300), milliseconds(2500));
  After(milliseconds(15), [this, sent, end] {
    member& to = members_[sent->gateway];
    if (!sent->over && to.life == sent->life) {
      if (scenario_.quarantine) {
        to.quarantine->OnAnswer(sent->work->parts, now_);
      }
      Count(*sent->work, sent->work->attempts == 1);
      Progress(sent, end);
    }
  });
}

void crash_fleet::Progress(const std::shared_ptr<attempt>& sent, instant end) {
  member& to = members_[sent->gateway];
  if (sent->over || to.life != sent->life) {
    return;
  }
  if (scenario_.quarantine) {
    to.quarantine->OnHeard(sent->name, now_);
  }
  if (now_ >= end) {
    sent->over = true;
    End(sent);
    return;
  }
  After(milliseconds(100), [this, sent, end] { Progress(sent, end); });
}

void crash_fleet::End(const std::shared_ptr<attempt>& sent) {
  servers_[sent->server].running.erase(sent);
}

void crash_fleet::OnCut(const std::shared_ptr<attempt>& cut) {
  cut->over = true;
  member& at = members_[cut->gateway];
  if (!at.up || at.life != cut->life) {
    return;
  }
  bool repeat = true;
  if (scenario_.quarantine) {
    const std::vector<crash_suspect> none;
    at.quarantine->OnServerEnd(cut->name, end_sign::kCut, cut->begun ? none : cut->work->parts,
                               now_);
    repeat = at.quarantine->MayRepeat(cut->work->parts, now_);
  }
  if (!cut->begun && repeat && cut->work->attempts < kMaxAttempts) {
    Send(cut->gateway, cut->work);
  } else if (!cut->begun) {
    Count(*cut->work, false);
    Retry(*cut->work);
  }
}

void crash_fleet::Retry(const request& failed) {
  auto again = std::make_shared<request>();
  again->parts = failed.parts;
  again->bad = failed.bad;
  After(Between(milliseconds(200), milliseconds(1000)), [this, again] {
    const std::size_t gateway = random_() % members_.size();
    if (members_[gateway].up) {
      again->arrived = now_;
      Send(gateway, again);
    }
  });
}

bool crash_fleet::Reaches(std::size_t from, std::size_t to) {
  return members_[to].up && members_[from].cut_until <= now_ && members_[to].cut_until <= now_ &&
         !Chance(scenario_.loss);
}

void crash_fleet::Query(std::size_t from, std::size_t to) {
  const auto deliver = [this](std::size_t sender, std::size_t receiver,
                              const std::function<void()>& then) {
    ++messages_;
    struct message {
      std::vector<crash_report> reports;
      std::vector<suspect_trial> trials;
    };
    auto sent = std::make_shared<message>();
    for (const auto& [key, report] : members_[sender].quarantine->reports()) {
      sent->reports.push_back(report);
    }
    sent->trials = members_[sender].quarantine->Trials();
    const instant at = now_;
    After(Between(milliseconds(1), milliseconds(40)), [this, sender, receiver, sent, at, then] {
      if (!Reaches(sender, receiver)) {
        return;
      }
      // Ages are sent instead of times, so all seems to be as much later as the message took.
      for (crash_report& report : sent->reports) {
        report.ended += now_ - at;
      }
      for (suspect_trial& trial : sent->trials) {
        trial.sent += now_ - at;
      }
      members_[receiver].quarantine->OnPeer(sent->reports, sent->trials, now_);
      then();
    });
  };
  deliver(from, to, [this, from, to, deliver, life = members_[from].life] {
    deliver(to, from, [this, from, life] {
      if (members_[from].life == life) {
        members_[from].quarantine->OnContact(now_);
      }
    });
  });
}

void crash_fleet::Tick(std::size_t gateway, std::uint64_t life) {
  member& each = members_[gateway];
  if (each.life != life || !scenario_.quarantine) {
    return;
  }
  After(kTick, [this, gateway, life] { Tick(gateway, life); });
  crash_quarantine& own = *each.quarantine;
  own.Expire(now_);
  const bool young = now_ - each.last_disruption < seconds(3) && each.life > 1;
  const bool due = now_ >= each.next_query;
  const bool all = own.TakeNews() || (due && (young || own.cut_off(now_)));
  if (all) {
    for (std::size_t i = 0; i < members_.size(); ++i) {
      if (i != gateway) {
        Query(gateway, i);
      }
    }
  } else if (due && members_.size() > 1) {
    const std::size_t peer = random_() % (members_.size() - 1);
    Query(gateway, peer < gateway ? peer : peer + 1);
  }
  if (due) {
    each.next_query = now_ + (young || own.cut_off(now_) ? milliseconds(400)
                              : own.reports().empty()    ? milliseconds(2000)
                                                         : milliseconds(800));
  }
  if (own.Held(now_).empty()) {
    return;
  }
  for (server& one : servers_) {
    const auto running = one.running;
    for (const auto& sent : running) {
      if (sent->gateway == gateway && !sent->begun && own.MustCancel(sent->work->parts, now_)) {
        sent->over = true;
        one.running.erase(sent);
        Count(*sent->work, false);
      }
    }
  }
}

std::size_t crash_fleet::CrashesBeforeBound(std::size_t index) const {
  return scenario_.bad[index] == part_place::kWholeRequest ? kRequestCrashesBeforeBound
                                                           : kPartCrashesBeforeBound;
}

std::size_t crash_fleet::crashes() const {
  std::size_t all = 0;
  for (const bad_part_figures& each : bad_) {
    all += each.crashes.size();
  }
  return all;
}

std::size_t crash_fleet::late_sends() const {
  std::size_t most = 0;
  for (const bad_part_figures& each : bad_) {
    most = std::max(most, each.late_sends);
  }
  return most;
}

double crash_fleet::ShareOf(const std::map<instant, bool>& answers) const {
  instant from = start_;
  for (std::size_t i = 0; i < bad_.size(); ++i) {
    const std::vector<instant>& crashes = bad_[i].crashes;
    if (!crashes.empty()) {
      const std::size_t counted = std::min(crashes.size(), CrashesBeforeBound(i));
      from = std::max(from, crashes[counted - 1] + 2 * kTouch);
    }
  }
  std::size_t all = 0;
  std::size_t answered = 0;
  for (const auto& [arrived, good] : answers) {
    if (arrived >= from) {
      ++all;
      answered += good ? 1 : 0;
    }
  }
  // The rule needs 20 requests; fewer are left when the last trial comes at the end of the run.
  constexpr std::size_t kMinCounted = 20;
  return all < kMinCounted ? 1 : static_cast<double>(answered) / static_cast<double>(all);
}

}  // namespace jacinthspool::testing
