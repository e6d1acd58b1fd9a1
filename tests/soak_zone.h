/* Zones within a soak: an operator keeps requests out of one and brings it
 * back, again and again, while its endpoints start again under their ids and
 * are cold; afterwards, by what the endpoints have noted: nothing ran there
 * while it was out, and none got more than it bears while it was cold. */
#ifndef SOAK_ZONE_H
#define SOAK_ZONE_H

#include "path.h"

typedef struct SoakZone SoakZone;

/* Of a site that was made with path_new_zones(). */
SoakZone *soak_zone_new(Path *p, uint32_t seed);

/* To be called several times a second. */
void soak_zone_tick(SoakZone *z);

/* Brings the zone back; appends what was broken, a line each, and frees all.
   Returns a text on what was seen, which is freed with g_free(). */
char *soak_zone_end(SoakZone *z, GString *problems);

#endif
