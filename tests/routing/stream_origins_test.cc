#include "jacinthspool/routing/stream_origins.h"

#include <doctest/doctest.h>

#include "jacinthspool/routing/origin_verdict.h"
#include "jacinthspool/routing/software_history.h"

namespace jacinthspool {
namespace {

constexpr instant kStart{seconds(1000)};
const stream_origin kFirst{.service = "model", .software = "v1"};
const stream_origin kSecond{.service = "model", .software = "v2"};

TEST_CASE("the origin of a stream is remembered for as long as its caller may take it up") {
  stream_origins origins({.most = 3, .longest_life = seconds(60)});
  origins.Note(1, kFirst, seconds(10), kStart);
  REQUIRE(origins.Find(1, kStart + seconds(9)) != nullptr);
  CHECK(origins.Find(1, kStart + seconds(9))->origin == kFirst);
  CHECK(origins.Find(2, kStart) == nullptr);
  CHECK(origins.Find(1, kStart + seconds(10)) == nullptr);

  SUBCASE("and longer when it has gone on") {
    origins.Note(1, kFirst, seconds(10), kStart + seconds(5));
    origins.Note(2, kFirst, seconds(1), kStart + seconds(12));
    REQUIRE(origins.Find(1, kStart + seconds(14)) != nullptr);
    CHECK_FALSE(origins.Find(1, kStart + seconds(14))->contested);
  }
  SUBCASE("nothing of it is left afterwards") {
    origins.Note(2, kFirst, seconds(10), kStart + seconds(11));
    CHECK(origins.size() == 1);
  }
  SUBCASE("no longer than the longest life") {
    origins.Note(2, kFirst, seconds(1000), kStart);
    CHECK(origins.Find(2, kStart + seconds(60)) == nullptr);
  }
  SUBCASE("of too many those that end first are dropped") {
    for (std::uint64_t stream = 2; stream <= 5; ++stream) {
      origins.Note(stream, kFirst, seconds(10 + static_cast<int>(stream)), kStart);
    }
    CHECK(origins.size() == 3);
    CHECK(origins.Find(1, kStart) == nullptr);
    CHECK(origins.Find(5, kStart) != nullptr);
  }
  SUBCASE("two origins of one id are none") {
    origins.Note(1, kSecond, seconds(10), kStart);
    CHECK(origins.Find(1, kStart)->contested);
  }
}

TEST_CASE("what several gateways know of a stream decides where it goes on") {
  const origin_knowledge nothing{};
  const origin_knowledge noted{.evidence = origin_evidence::kNoted, .origin = kFirst};
  const origin_knowledge only{.evidence = origin_evidence::kOnlyVersion, .origin = kFirst};
  const origin_knowledge several{.evidence = origin_evidence::kSeveral};
  const origin_knowledge seen_other{.evidence = origin_evidence::kSeenVersion, .origin = kSecond};

  const auto named = [](std::size_t others) {
    return origin_verdict::options{.named = true, .others = others};
  };
  const auto unnamed = [](std::size_t others) { return origin_verdict::options{.others = others}; };

  SUBCASE("what this gateway remembers needs no other") {
    const origin_verdict verdict(noted, named(3));
    CHECK(verdict.settled());
    CHECK(verdict.Conclude().origin == kFirst);
  }
  SUBCASE("what another one remembers is proof, whatever the rest says") {
    origin_verdict verdict(several, named(3));
    verdict.OnAnswer(nothing);
    CHECK_FALSE(verdict.settled());
    verdict.OnAnswer(noted);
    CHECK(verdict.settled());
    CHECK(verdict.Conclude().origin == kFirst);
  }
  SUBCASE("gateways that remember different origins prove nothing") {
    origin_verdict verdict(nothing, named(3));
    verdict.OnAnswer(noted);
    verdict.OnAnswer({.evidence = origin_evidence::kNoted, .origin = kSecond});
    CHECK(verdict.Conclude().evidence == origin_evidence::kContested);
  }
  SUBCASE("the only version that there was, as the own list proves, needs no other") {
    origin_verdict verdict({.evidence = origin_evidence::kSeenVersion, .origin = kFirst}, named(2));
    CHECK_FALSE(verdict.settled());
    verdict.SetOwn(only);
    CHECK(verdict.settled());
    CHECK(verdict.Conclude().evidence == origin_evidence::kOnlyVersion);
    CHECK(verdict.Conclude().origin == kFirst);
  }
  SUBCASE("the lists of others prove nothing, since they may be as old") {
    origin_verdict verdict({.evidence = origin_evidence::kSeenVersion, .origin = kFirst}, named(3));
    verdict.OnAnswer(only);
    verdict.OnAnswer(only);
    CHECK_FALSE(verdict.settled());
    CHECK(verdict.Conclude().evidence == origin_evidence::kSeenVersion);
    verdict.OnAnswer(noted);
    CHECK(verdict.settled());
    CHECK(verdict.Conclude().evidence == origin_evidence::kNoted);
  }
  SUBCASE("it is none when somebody knows of another version") {
    for (const origin_knowledge& better : {several, seen_other}) {
      origin_verdict verdict({.evidence = origin_evidence::kSeenVersion, .origin = kFirst},
                             named(2));
      verdict.OnAnswer(better);
      verdict.SetOwn(only);
      CHECK_FALSE(verdict.settled());
      verdict.OnAnswer(only);
      CHECK(verdict.settled());
      CHECK(verdict.Conclude().evidence == origin_evidence::kSeveral);
    }
  }
  SUBCASE("a stream without a name goes on at the only version") {
    SUBCASE("that two gateways know, without a third") {
      origin_verdict verdict(only, unnamed(3));
      CHECK_FALSE(verdict.settled());
      verdict.OnAnswer(only);
      CHECK(verdict.settled());
      CHECK(verdict.Conclude().evidence == origin_evidence::kOnlyVersion);
    }
    SUBCASE("that a gateway knows which is alone") {
      CHECK(origin_verdict(only, unnamed(0)).Conclude().origin == kFirst);
    }
    SUBCASE("that was seen, once another gateway knows something") {
      origin_verdict verdict(seen_other, unnamed(2));
      CHECK(verdict.Conclude().evidence == origin_evidence::kNone);
      verdict.OnAnswer(nothing);
      CHECK(verdict.Conclude().evidence == origin_evidence::kNone);
      verdict.OnAnswer(seen_other);
      CHECK(verdict.settled());
      CHECK(verdict.Conclude().evidence == origin_evidence::kSeenVersion);
      CHECK(verdict.Conclude().origin == kSecond);
    }
  }
}

TEST_CASE("the published versions of a service tell where its streams can have begun") {
  software_history history({});
  const auto listed = [](const std::vector<std::string>& versions) {
    std::map<std::string, backend_record> records;
    for (const std::string& version : versions) {
      const std::string id = "i-" + std::to_string(records.size());
      records[id] = {.id = id, .service = "model", .software = version};
    }
    return records;
  };
  const auto period = [](instant now) {
    return software_history::period{.oldest = now - seconds(20), .newest = now};
  };
  const auto evidence = [&](instant now) {
    return history.EvidenceOf("model", period(now)).evidence;
  };
  CHECK(evidence(kStart) == origin_evidence::kNone);
  history.Update(listed({"v1", "v1"}), kStart);
  history.OnList(kStart);

  SUBCASE("nothing is proved before every change was seen for long enough") {
    history.OnConfirmed(kStart + seconds(30));
    CHECK(evidence(kStart + seconds(19)) == origin_evidence::kSeenVersion);
    CHECK(evidence(kStart + seconds(20)) == origin_evidence::kOnlyVersion);
    CHECK(history.EvidenceOf("other", period(kStart)).evidence == origin_evidence::kNone);
  }
  SUBCASE("nor after the latest confirmation, when a server may have joined unseen") {
    history.OnConfirmed(kStart + seconds(30));
    CHECK(evidence(kStart + seconds(30)) == origin_evidence::kOnlyVersion);
    CHECK(evidence(kStart + seconds(30) + milliseconds(1)) == origin_evidence::kSeenVersion);
    history.OnConfirmed(kStart + seconds(25));
    CHECK(evidence(kStart + seconds(30)) == origin_evidence::kOnlyVersion);
  }
  SUBCASE("changes may have been missed before another whole list") {
    history.OnList(kStart + seconds(40));
    history.OnConfirmed(kStart + seconds(90));
    CHECK(evidence(kStart + seconds(59)) == origin_evidence::kSeenVersion);
    CHECK(evidence(kStart + seconds(60)) == origin_evidence::kOnlyVersion);
  }
  SUBCASE("a version counts for as long as its streams can be taken up") {
    history.OnConfirmed(kStart + seconds(100));
    history.Update({.id = "i-9", .service = "model", .software = "v2"});
    CHECK(evidence(kStart + seconds(30)) == origin_evidence::kSeveral);
    history.Update(listed({"v2"}), kStart + seconds(40));
    CHECK(evidence(kStart + seconds(59)) == origin_evidence::kSeveral);
    const origin_knowledge later = history.EvidenceOf("model", period(kStart + seconds(61)));
    CHECK(later.evidence == origin_evidence::kOnlyVersion);
    CHECK(later.origin == kSecond);
    SUBCASE("and again when it comes back") {
      history.Update(listed({"v1", "v2"}), kStart + seconds(70));
      CHECK(evidence(kStart + seconds(70)) == origin_evidence::kSeveral);
    }
  }
  SUBCASE("an unknown version may be any") {
    history.OnConfirmed(kStart + seconds(100));
    history.Update(listed({"", ""}), kStart + seconds(1));
    CHECK(evidence(kStart + seconds(60)) == origin_evidence::kSeveral);
  }
}

}  // namespace
}  // namespace jacinthspool
