// The emulated list service on loopback: HTTP around a ListModel.
#pragma once

#include <list>
#include <memory>
#include <string>

#include "emulator/delayed_actions.h"
#include "emulator/list_model.h"
#include "standins/standins.h"
#include "transport/event_loop.h"

namespace heathflow::emulator {

class ListService final : public test::Listening {
 public:
  ListService(transport::EventLoop& loop, ListCosts costs, std::uint32_t address = test::kLoopback);

  // Adds a listener with its own address, so that callers can be told apart. Returns its number, from 1 on; 0
  // is the service's own.
  std::size_t addListener();
  const transport::SocketAddress& listenerAddress(std::size_t number) const;
  // Called when a call has been answered, rejected or reset, with the listener at which it came in.
  std::function<void(std::size_t listener, const ListModel::Answer& answer)> onAnswer;

  ListModel& model() { return model_; }
  const ListModel& model() const { return model_; }
  // Sets the list and answers the calls that wait for a change.
  void set(std::vector<ListedEntry> entries);
  // While the service is down, its connections break and new ones are reset.
  void goDown();
  void comeUp();

 private:
  struct Waiting {
    test::Line* line = nullptr;
    std::int64_t since = 0;
    std::size_t listener = 0;
    Micros waitEnds = 0;
    std::unique_ptr<transport::Timer> limit;
  };
  class Listener final : public test::Listening {
   public:
    Listener(transport::EventLoop& loop, ListService& service, std::size_t number)
        : Listening(loop), service_(service), number_(number) {}

   private:
    void onLineInput(test::Line& line) override { service_.onInputFrom(line, number_); }
    ListService& service_;
    std::size_t number_;
  };
  void onLineInput(test::Line& line) override { onInputFrom(line, 0); }
  void onInputFrom(test::Line& line, std::size_t listener);
  void onCall(test::Line& line, const std::string& call, std::size_t listener);
  void answer(test::Line& line, const ListModel::Answer& answer, std::size_t listener);
  void answerWaiting(Waiting& waiting);

  ListModel model_;
  std::vector<std::unique_ptr<Listener>> listeners_;
  std::list<Waiting> waiting_;
  DelayedActions delayedActions_;
};

}  // namespace heathflow::emulator
