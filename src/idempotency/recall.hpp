// From the records of a log back into a store: what an earlier process remembered, as far as it still counts.
// No I/O.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include "idempotency/record.hpp"
#include "idempotency/store.hpp"

namespace finchstile::idempotency {

// Tenants and classes by name, and their indexes as of the settings now in force.
struct Names {
  std::vector<std::string> tenants;  // one more index behind them stands for all others, which have no name
  std::vector<std::string> classes;

  static Names of(const load_balancing::Settings& settings);
  std::string tenant(std::uint32_t index) const { return index < tenants.size() ? tenants[index] : ""; }
  std::uint32_t tenantIndex(const std::string& name) const;  // of the others, if none is named so
  std::optional<std::uint32_t> classIndex(const std::string& name) const;
};

struct Recalled {
  std::size_t answered = 0, uncertain = 0;  // put back
  std::size_t running = 0;                  // among the uncertain: they ran when the process ended
  std::size_t past = 0;                     // due, or of a class that is no more
  std::size_t noRoom = 0;                   // forgotten though they should not be: the store is smaller now
  std::size_t foreign = 0;                  // records that are none of ours
};

class Recall {
 public:
  // `here`: how this process' clock reads. `keep` as the store has it.
  Recall(Store& store, const Names& names, const TimeBase& here, Time now, Duration keep);

  // Each record of the log, in order.
  void take(std::string_view record);
  // Behind the last. `whole`: nothing was cut or damaged. What ran when the process ended is uncertain from
  // now on; where its attempt went is relied on only if no later one can be missing. Returns the runs in
  // question: they are over.
  std::vector<std::uint64_t> finish(bool whole);

  const Recalled& result() const { return result_; }

 private:
  struct Running {
    Began began;
    std::optional<Earlier> earlier;
    bool open = false, sameBoot = false;
  };
  Time here(Time then) const;  // as this process' clock reads it
  Earlier here(const Earlier& then) const;
  void putBack(Began&& request, State state, KeptAnswer&& answer, Earlier&& earlier, Time due);
  void operator()(Session&& s);
  void operator()(Began&& b);
  void operator()(Sent&& s);
  void operator()(NeverRan&& n);
  void operator()(Ended&& e);

  Store& store_;
  const Names& names_;
  const TimeBase here_;
  const Time now_;
  const Duration keep_;
  std::optional<Session> session_;
  bool sameBoot_ = false;
  std::unordered_map<std::uint64_t, Running> running_;
  Recalled result_;
};

}  // namespace finchstile::idempotency
