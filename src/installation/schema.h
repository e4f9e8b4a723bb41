// The schema of the settings, deploy/heathflow.xsd, as compiled into the program.
#pragma once

#include <string_view>

namespace heathflow::installation {

std::string_view schemaText();

}  // namespace heathflow::installation
