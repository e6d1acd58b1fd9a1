/* Ports of 127.0.0.1 for processes that a test starts. Blocks lie below the
 * ephemeral ports of outgoing connections. The first port of a block stays
 * bound while the block is in use, so that tests that run in parallel use
 * different blocks. */
#ifndef PORTS_H
#define PORTS_H

#include <stdint.h>

typedef struct Ports {
    int lock;      /* socket bound to the first port of the block */
    uint16_t next; /* the last port handed out */
} Ports;

/* Reserves a random free block. */
void ports_init(Ports *p);

/* Releases the block. */
void ports_end(Ports *p);

/* The next port of the block that no other socket is bound to. */
uint16_t ports_next(Ports *p);

#endif
