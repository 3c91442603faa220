#include "tests/routing/crash_fleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <random>
#include <string>
#include <vector>

namespace jacinthspool::testing {
namespace {

using enum part_place;

/// Requests with a part that may reach servers once five have ended under it and `kTouch` is over;
/// of a whole request, once three have.
constexpr std::size_t kMaxLateSends = 3;
/// Of the sound requests with the same first part, answered at the first attempt.
constexpr double kMinSoundShare = 0.9;

void Report(const crash_scenario& scenario, const std::string& beside, const crash_fleet& fleet) {
  std::string places;
  std::size_t late_any = 0;
  for (std::size_t i = 0; i < scenario.bad.size(); ++i) {
    const part_place place = scenario.bad[i];
    places += place == kFirst    ? " first"
              : place == kMiddle ? " middle"
              : place == kLast   ? " last"
                                 : " whole request";
    late_any = std::max(late_any, fleet.bad()[i].late_sends_any);
  }
  MESSAGE(scenario.gateways, " gateways, ", scenario.servers, " servers, bad parts:", places,
          std::string(scenario.quarantine ? "" : ", without quarantine"), beside, ": crashes ",
          fleet.crashes(), ", late sends ", fleet.late_sends(), " (", late_any,
          " with gateways out of touch), sound share ", fleet.SoundShare(), ", sound held ",
          fleet.sound_held(), " and unknown ", fleet.sound_unknown(), " of ", fleet.sound(),
          ", messages ", fleet.messages());
}

/// Plays the scenario while gateways are killed, started again and cut off.
void PlayWhileGatewaysFail(const crash_scenario& scenario) {
  crash_fleet fleet(scenario);
  std::mt19937_64 random(scenario.seed);
  for (seconds at(6); at < scenario.end; at += seconds(4)) {
    const std::size_t killed = random() % scenario.gateways;
    const std::size_t cut = random() % scenario.gateways;
    const seconds length(3 + random() % 8);
    fleet.At(at + milliseconds(random() % 3000), [&, killed] { fleet.Kill(killed, seconds(2)); });
    fleet.At(at + milliseconds(random() % 3000), [&, cut, length] { fleet.CutOff(cut, length); });
  }
  fleet.Run();
  Report(scenario, ", gateways killed and cut off", fleet);
  CHECK(fleet.late_sends() <= kMaxLateSends);
  CHECK(fleet.SoundShare() >= kMinSoundShare);
}

const std::vector<std::vector<part_place>> kPlaces{
    {kFirst}, {kMiddle}, {kLast}, {kMiddle, kLast}, {kFirst, kMiddle, kLast}};

TEST_CASE("requests with one part in their prompts do not crash server after server") {
  for (const std::size_t gateways : {1, 4, 30, 103}) {
    for (const std::size_t servers : {8, 20, 60}) {
      for (const std::vector<part_place>& bad : kPlaces) {
        // The large fleets are played for the most and the fewest parts only.
        if (gateways > 4 && bad.size() != 3 && bad != kPlaces[1]) {
          continue;
        }
        crash_scenario scenario{.gateways = gateways, .servers = servers, .bad = bad};
        if (gateways == 103) {
          scenario.end = seconds(30);
        }
        if (gateways == 4 && bad.size() != 2) {
          scenario.quarantine = false;
          crash_fleet before(scenario);
          before.Run();
          Report(scenario, "", before);
          scenario.quarantine = true;
        }
        crash_fleet fleet(scenario);
        fleet.Run();
        Report(scenario, "", fleet);
        CHECK(fleet.late_sends() <= kMaxLateSends);
        CHECK(fleet.SoundShare() >= kMinSoundShare);
      }
    }
  }
}

TEST_CASE("one request that is sent again and again does not crash server after server") {
  for (const std::size_t gateways : {1, 4, 30, 103}) {
    for (const std::size_t servers : {8, 20, 60}) {
      for (const std::size_t requests : {1, 3}) {
        crash_scenario scenario{.gateways = gateways,
                                .servers = servers,
                                .bad = std::vector<part_place>(requests, kWholeRequest),
                                .seed = gateways + servers + requests,
                                .end = seconds(gateways == 103 ? 30 : 60)};
        if (gateways == 4) {
          scenario.quarantine = false;
          crash_fleet before(scenario);
          before.Run();
          Report(scenario, "", before);
          scenario.quarantine = true;
        }
        crash_fleet fleet(scenario);
        fleet.Run();
        Report(scenario, "", fleet);
        CHECK(fleet.late_sends() <= kMaxLateSends);
        CHECK(fleet.SoundShare() >= kMinSoundShare);
        CHECK(fleet.sound_held() == 0);
      }
    }
  }
}

TEST_CASE("a request stays held while gateways are killed, started and cut off") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    const std::size_t gateways = seed % 4 == 0 ? 30 : 4;
    crash_scenario scenario{.gateways = gateways,
                            .servers = 20,
                            .bad = {kWholeRequest, kWholeRequest},
                            .bad_per_second = 3,
                            .seed = seed};
    PlayWhileGatewaysFail(scenario);
  }
}

TEST_CASE("a part stays held while gateways are killed, started and cut off") {
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6, 7, 8}) {
    const std::size_t gateways = seed % 4 == 0 ? 30 : 4;
    crash_scenario scenario{
        .gateways = gateways, .servers = 20, .bad = kPlaces[seed % 5], .seed = seed};
    PlayWhileGatewaysFail(scenario);
  }
}

TEST_CASE("a part is held although many messages between gateways are lost") {
  for (const std::size_t gateways : {4, 30}) {
    crash_scenario scenario{.gateways = gateways, .bad = {kMiddle, kLast}, .loss = 0.3};
    crash_fleet fleet(scenario);
    fleet.Run();
    Report(scenario, ", 30 % of the messages lost", fleet);
    CHECK(fleet.late_sends() <= kMaxLateSends);
    CHECK(fleet.SoundShare() >= kMinSoundShare);
  }
}

TEST_CASE("parts that crash many servers within half a second are all held") {
  for (const std::uint64_t seed : {2, 22, 23, 24}) {
    crash_scenario scenario{.servers = seed == 2 ? 22U : 15U,
                            .bad = {kFirst, kMiddle, kLast},
                            .bad_per_second = 40,
                            .seed = seed};
    crash_fleet fleet(scenario);
    fleet.Run();
    Report(scenario, ", 40 a second", fleet);
    CHECK(fleet.late_sends() <= kMaxLateSends);
    CHECK(fleet.SoundShare() >= kMinSoundShare);
  }
}

TEST_CASE("a flood of parts that nobody has seen hides no part that crashes servers") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    crash_scenario scenario{.bad = kPlaces[2 + seed % 3],
                            .sound_per_second = 300,
                            .seed = seed,
                            .new_document_share = 1};
    crash_fleet fleet(scenario);
    fleet.Run();
    Report(scenario, ", flood of new parts", fleet);
    CHECK(fleet.late_sends() <= kMaxLateSends);
    CHECK(fleet.SoundShare() >= kMinSoundShare);
  }
}

TEST_CASE("the last trials of a part stay within the bound when it is asked for all the while") {
  for (const std::uint64_t seed : {1, 2, 3}) {
    crash_scenario scenario{
        .bad = {kLast, kMiddle}, .bad_per_second = 10, .seed = seed, .end = seconds(900)};
    crash_fleet fleet(scenario);
    fleet.Run();
    Report(scenario, ", 15 minutes", fleet);
    CHECK(fleet.late_sends() <= kMaxLateSends);
    CHECK(fleet.SoundShare() >= kMinSoundShare);
  }
}

TEST_CASE("a part that all crashing requests share with few sound ones is not held with them") {
  std::size_t held = 0;
  for (const std::uint64_t seed : {1, 2, 3, 4, 5, 6}) {
    crash_scenario scenario{
        .bad = {kLast}, .bad_per_second = 12, .seed = seed, .companion_share = 0.03};
    crash_fleet fleet(scenario);
    fleet.Run();
    Report(scenario, ", with a companion", fleet);
    CHECK(fleet.late_sends() <= kMaxLateSends);
    CHECK(fleet.CompanionShare() >= kMinSoundShare);
    held += fleet.sound_held();
  }
  CHECK(held == 0);
}

TEST_CASE("servers that end for other causes hold back nobody's prompts") {
  for (const std::uint64_t seed : {1, 2, 3, 4}) {
    for (const bool with_bad : {false, true}) {
      crash_scenario scenario{.gateways = seed % 2 == 0 ? 30U : 4U,
                              .servers = 24,
                              .bad = with_bad ? kPlaces[seed] : std::vector<part_place>{},
                              .seed = seed,
                              .end = seconds(40)};
      crash_fleet fleet(scenario);
      std::string beside;
      if (seed == 1 || seed == 4) {
        beside += ", racks end";
        for (seconds at(4); at < scenario.end; at += seconds(5)) {
          fleet.At(at, [&] { fleet.EndServers(0.25); });
        }
      }
      if (seed == 2 || seed == 4) {
        beside += ", servers end in turn";
        for (std::size_t i = 0; i < scenario.servers; ++i) {
          fleet.At(seconds(7) + milliseconds(300) * i, [&, i] { fleet.EndServer(i); });
          fleet.At(seconds(27) + milliseconds(300) * i, [&, i] { fleet.EndServer(i); });
        }
      }
      if (seed == 3 || seed == 4) {
        beside += ", connections of gateways are reset";
        for (seconds at(5); at < scenario.end; at += seconds(2)) {
          fleet.At(at, [&, at] { fleet.ResetConnections(at.count() / 2 % scenario.gateways); });
        }
      }
      // A document that becomes popular as servers end.
      fleet.At(seconds(13) + milliseconds(900), [&] { fleet.SetFashion(true); });
      fleet.At(seconds(18), [&] { fleet.SetFashion(false); });
      fleet.Run();
      Report(scenario, beside, fleet);
      CHECK(fleet.late_sends() <= kMaxLateSends);
      CHECK(fleet.SoundShare() >= kMinSoundShare);
      CHECK(fleet.sound_held() == 0);
    }
  }
}

}  // namespace
}  // namespace jacinthspool::testing
