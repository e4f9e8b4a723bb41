#include "routing/request_table.h"

#include <utility>

#include "routing/attempt.h"

namespace heathflow::routing {

PendingRequest::PendingRequest() = default;
PendingRequest::~PendingRequest() = default;

void RequestTable::add(std::unique_ptr<PendingRequest> request) {
  const RequestId id = request->id;
  requests_.emplace(id, std::move(request));
}

PendingRequest* RequestTable::find(RequestId id) const {
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : found->second.get();
}

void RequestTable::finish(PendingRequest& request) {
  request.owner = nullptr;
  removeIfDone(request.id);
}

void RequestTable::removeIfDone(RequestId id) {
  const auto found = requests_.find(id);
  if (found == requests_.end()) return;
  const PendingRequest& request = *found->second;
  if (request.owner != nullptr || request.attemptsInFlight != 0) return;
  checker_.forget(id);
  // Kept alive until the end of the event loop's turn, because code of its attempts may be running.
  loop_.deleteLater(std::move(found->second));
  requests_.erase(found);
}

}  // namespace heathflow::routing
