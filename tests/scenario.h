/* The parts of the scenario runner. */
#ifndef SCENARIO_H
#define SCENARIO_H

#include "site.h"

/* The value of a measure by name; NAN when there is no such. */
double site_measure(Site *s, const char *name);

/* Does one step; false, and a line in `why`, when it fails. */
bool site_step(Site *s, const Wp__Step *step);

#endif
