// Scale run: hundreds of simulated poolers beside real ones, with simulated discovery servers and databases,
// follow a script. The run measures the traffic, CPU time and memory per instance, and checks the responses
// for stale reads.
#pragma once

#include "scale_script.h"

namespace lynxgrade::testbed {

// Prints one figure per line. Returns 0 if no process crashed, no stale read was served and the membership
// had converged before the measurement, 2 if the run is not possible on this machine, else 1.
int RunScale(const ScaleOptions& options);

}  // namespace lynxgrade::testbed
