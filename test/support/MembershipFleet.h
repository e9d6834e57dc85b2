/// \file
/// Defines MembershipFleet, a simulation of daemons that gossip over links with
/// latency, loss and one-way cuts, in virtual time.
#ifndef BANYANWORKS_TEST_SUPPORT_MEMBERSHIPFLEET_H
#define BANYANWORKS_TEST_SUPPORT_MEMBERSHIPFLEET_H

#include "state/Membership.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace banyanworks::testing {

/// Daemons of failure domains of equal size; daemon i is in domain
/// i / DaemonsPerDomain.
class MembershipFleet {
public:
  MembershipFleet(std::size_t Domains, std::size_t DaemonsPerDomain,
                  std::uint64_t Seed, const Membership::Options &Settings = {});

  void advance(Duration Span);
  void kill(std::size_t Daemon) { Daemons[Daemon].Dead = true; }
  /// Starts a new process at the same address.
  void restart(std::size_t Daemon);
  void shutDown(std::size_t Daemon);
  void hint(std::size_t Daemon, const MemberHint &Hint);

  /// If set, messages are lost on the links for which this returns true.
  std::function<bool(std::size_t From, std::size_t To)> IsCut;
  /// The probability that a message is lost.
  double LossProbability = 0;

  Membership &stateMachine(std::size_t Daemon) {
    return *Daemons[Daemon].StateMachine;
  }
  std::size_t size() const { return Daemons.size(); }
  DaemonId nameOf(std::size_t Index) const;
  DomainId domainOf(std::size_t Index) const;
  /// Returns true if \p Observer considers \p Daemon live.
  bool believesLive(std::size_t Observer, std::size_t Daemon) const;
  /// Returns the number of other live daemons that consider \p Daemon live.
  std::size_t countBelievers(std::size_t Daemon) const;
  /// Returns the bytes that a daemon sent and received, including UDP and IP
  /// headers.
  std::uint64_t bytes(std::size_t Daemon) const {
    return Daemons[Daemon].Bytes;
  }
  std::uint64_t messages(std::size_t Daemon) const {
    return Daemons[Daemon].Messages;
  }
  /// How often a daemon considered a live daemon dead while CountFalseDeaths
  /// was set.
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
    std::size_t ReceiverIndex;
    std::string Bytes;
  };

  void start(std::size_t Index);
  void step();
  void countFalseDeaths(std::size_t Observer);
  void handle(std::size_t Index, const MembershipEvent &Event);
  void send(std::size_t SenderIndex, const SendGossip &Send);

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
