// The log of keyed requests in the program: its folder, its thread for syncs, its timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "idempotency/filter.hpp"
#include "net/clock.hpp"
#include "wal/env.hpp"
#include "wal/log.hpp"
#include "wal/sync_thread.hpp"

namespace finchstile {

class IdempotencyLog {
 public:
  // Puts what the log holds into the stage's store, before it is attached; reads the whole log. Says on
  // standard error what it found. Throws std::runtime_error if the folder can't be used at all: the operator
  // asked for what this process can't give. What has ended since shows in the stage's summary.
  IdempotencyLog(boost::asio::io_context& io, const Clock& clock,
                 const idempotency::IdempotencySettings& settings, const load_balancing::Settings& known,
                 idempotency::IdempotencyFilter& stage);

 private:
  void waitToTick();

  const Clock& clock_;
  std::unique_ptr<wal::Env> folder_;
  const idempotency::Names names_;
  wal::Log log_;
  wal::SyncThread thread_;  // ends before the log does
  idempotency::Journal journal_;
  boost::asio::steady_timer timer_;
  const Duration every_;
};

}  // namespace finchstile
