/* Ports of 127.0.0.1 for processes that a test starts. Blocks lie below the
 * ports that the system gives to outgoing connections; whoever holds a block
 * keeps its first port bound, so that tests running side by side keep apart. */
#ifndef PORTS_H
#define PORTS_H

#include <stdint.h>

typedef struct Ports {
    int lock;      /* socket that holds the block */
    uint16_t next; /* of the block */
} Ports;

void ports_init(Ports *p);
void ports_end(Ports *p);

/* The next port of the block that nobody is listening on. */
uint16_t ports_next(Ports *p);

#endif
