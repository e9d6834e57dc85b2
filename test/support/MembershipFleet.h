/// \file
/// Defines MembershipFleet, daemons that gossip over links with latency, loss
/// and cuts in either direction, in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_MEMBERSHIPFLEET_H
#define BANYANWORKS_TEST_SUPPORT_MEMBERSHIPFLEET_H

#include "state/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Daemons of equal failure domains; daemon i is in domain i / PerDomain.
class MembershipFleet {
public:
  MembershipFleet(std::size_t Domains, std::size_t DaemonsPerDomain,
                  std::uint64_t Seed, const Membership::Options &Settings = {});

  void advance(Duration Span);
  void kill(std::size_t Daemon) { Daemons[Daemon].Dead = true; }
  /// A new process under the same address.
  void restart(std::size_t Daemon);
  void shutDown(std::size_t Daemon);
  void hint(std::size_t Daemon, const MemberHint &Hint);

  /// Messages from one daemon to another are lost if this says so.
  std::function<bool(std::size_t From, std::size_t To)> IsCut;
  /// The chance that any message is lost.
  double LossProbability = 0;

  Membership &stateMachine(std::size_t Daemon) {
    return *Daemons[Daemon].StateMachine;
  }
  std::size_t size() const { return Daemons.size(); }
  DaemonId nameOf(std::size_t Index) const;
  DomainId domainOf(std::size_t Index) const;
  /// True if \p By takes \p Daemon to be live.
  bool believesLive(std::size_t Observer, std::size_t Daemon) const;
  /// Live daemons that take \p Daemon to be live.
  std::size_t countBelievers(std::size_t Daemon) const;
  /// Payload bytes that a daemon sent and received.
  std::uint64_t bytes(std::size_t Daemon) const {
    return Daemons[Daemon].Bytes;
  }
  std::uint64_t messages(std::size_t Daemon) const {
    return Daemons[Daemon].Messages;
  }
  /// Times that a live daemon was held dead by another, while counted.
  std::uint64_t falseDeaths() const { return FalseDeaths; }
  bool CountFalseDeaths = false;

  TimePoint Now{std::chrono::seconds(100)};

private:
  struct Daemon {
    std::unique_ptr<Membership> StateMachine;
    bool Dead = false;
    std::uint64_t Bytes = 0;
    std::uint64_t Messages = 0;
  };
  struct Datagram {
    std::size_t To;
    std::string Bytes;
  };

  void start(std::size_t Index);
  void step();
  void countFalseDeaths(std::size_t Observer);
  void handle(std::size_t Index, const MembershipEvent &Event);
  void send(std::size_t From, const SendGossip &Send);

  std::size_t PerDomain;
  Membership::Options Settings;
  Random Rng;
  std::vector<Daemon> Daemons;
  std::multimap<TimePoint, Datagram> InFlight;
  std::uint64_t Starts = 0;
  std::uint64_t FalseDeaths = 0;
};

} // namespace banyanworks::testing

#endif
