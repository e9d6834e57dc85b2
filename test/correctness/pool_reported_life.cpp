/// \file
/// When a worker's last report is of an earlier incarnation than the one that
/// the directory lists.
#include "pool/ReportedLife.h"

#include <criterion/criterion.h>

using namespace banyanworks;
using namespace banyanworks::pool;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation FirstLife{1};
constexpr Incarnation SecondLife{2};

/// A worker that was listed and has reported.
struct Reporting : ReportedLife {
  TimePoint Now{100s};

  Reporting() {
    listed(FirstLife, Now);
    reported(FirstLife, Now);
  }
};

} // namespace

Test(pool_reported_life, directory_shows_a_restart_before_a_report) {
  Reporting Life;
  cr_assert(Life.isCurrent());
  Life.listed(SecondLife, Life.Now + 5s);
  cr_assert_not(Life.isCurrent());
  // Requested before the restart was listed.
  Life.reported(FirstLife, Life.Now + 4s);
  cr_assert_not(Life.isCurrent());
  Life.reported(SecondLife, Life.Now + 5s);
  cr_assert(Life.isCurrent());
}

Test(pool_reported_life, directory_lags_behind_a_report) {
  Reporting Life;
  Life.reported(SecondLife, Life.Now + 5s);
  Life.listed(FirstLife, Life.Now + 6s);
  Life.listed(SecondLife, Life.Now + 7s);
  cr_assert(Life.isCurrent());
}

Test(pool_reported_life, worker_answers_as_the_same_incarnation) {
  Reporting Life;
  Life.listed(SecondLife, Life.Now + 5s);
  Life.reported(FirstLife, Life.Now + 6s);
  cr_assert(Life.isCurrent());
}

Test(pool_reported_life, entry_names_no_incarnation) {
  Reporting Life;
  Life.listed(Incarnation(), Life.Now + 5s);
  cr_assert(Life.isCurrent());
}
