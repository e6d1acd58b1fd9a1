/* Measures and steps of the scenario runner. */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "site.h"

/* Returns the value of the measure `name` (as scenario files write it); NAN if
   it is unknown or cannot be read. */
double site_measure(Site *s, const char *name);

/* Runs one step. If it fails, returns false and appends the reason to s->why.
 */
bool site_step(Site *s, const Wp__Step *step);

#endif
