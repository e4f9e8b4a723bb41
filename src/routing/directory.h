// Who the members are: names as discovery gives them, to what the module and the pool know them by.
#pragma once

#include <string>
#include <unordered_map>

#include "logic.h"
#include "protocol/member_list.h"
#include "routing/member_pool.h"
#include "routing/observer.h"

namespace heathflow::routing {

class Directory {
 public:
  Directory(MemberPool& pool, Observer& observer) : pool_(pool), observer_(observer) {}

  // Takes in a list, whole or of changes, and gives it as the module's event.
  MembersChanged take(const protocol::MemberList& list);

 private:
  struct Known {
    MemberId id = 0;
    bool gone = false;
  };
  Known& known(const std::string& name);
  void forgetGone();

  MemberPool& pool_;
  Observer& observer_;
  std::unordered_map<std::string, Known> byName_;
  std::unordered_map<MemberId, std::string> names_;
};

}  // namespace heathflow::routing
