// Connects the idempotency journal to the program: opens its log directory and runs its sync thread and its
// timer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <string>

#include "idempotency/filter.hpp"
#include "net/clock.hpp"
#include "wal/log.hpp"
#include "wal/log_directory.hpp"
#include "wal/sync_thread.hpp"

namespace finchstile {

class IdempotencyLog {
 public:
  // Reads the whole log into the store of `filter`, which must not be attached yet, and logs the result.
  // `filter` and `clock` must outlive this object. Throws wal::LogDirectoryError if the directory cannot be
  // used, since the gateway must not start without the durability that the operator configured. Later
  // failures appear in the filter's summary.
  IdempotencyLog(boost::asio::io_context& io, const Clock& clock,
                 const idempotency::IdempotencySettings& settings,
                 const load_balancing::Settings& balancerSettings, idempotency::IdempotencyFilter& filter);

 private:
  void printRecovery(const idempotency::JournalRecovery& recovery, const std::string& directory,
                     Duration retention) const;
  void scheduleTick();

  const Clock& clock_;
  std::unique_ptr<wal::LogDirectory> directory_;
  const idempotency::TenantAndClassNames names_;
  wal::Log log_;
  wal::SyncThread syncThread_;  // destroyed before the log that it syncs
  idempotency::Journal journal_;
  boost::asio::steady_timer timer_;
  const Duration tickInterval_;
};

}  // namespace finchstile
