/* Soak test of zone evacuations: an operator evacuates a zone and ends the
 * evacuation, again and again, while endpoints restart with their old ids and
 * are cold. Checked at the end, by the endpoints' run log: nothing ran in the
 * zone while it was evacuated, and no cold endpoint got more than it can
 * serve. */
#ifndef SOAK_ZONE_H
#define SOAK_ZONE_H

#include "cluster.h"

typedef struct SoakZone SoakZone;

/* `p` was made by cluster_new_with_zones(). */
SoakZone *soak_zone_new(TestCluster *p, uint32_t seed);

/* Starts or ends an evacuation when it is due. Call it several times a
   second. */
void soak_zone_tick(SoakZone *z);

/* Ends the evacuation and the test and frees `z`. Appends a line to `problems`
   for each violation. Returns a summary, to be freed with g_free(). */
char *soak_zone_end(SoakZone *z, GString *problems);

#endif
