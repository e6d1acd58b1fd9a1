/* What a process has of its machine: event loop, memory, descriptors. */
#ifndef WP_PROCESS_H
#define WP_PROCESS_H

struct bufferevent;
struct event_base;

/* Creates the event loop. It has two priorities: 0 is for what has to run
   before anything else. Memory that is freed goes back to the system soon, as
   the limits of what is held are those of resident memory. */
struct event_base *wp_process_base_new(void);

/* Closes and frees a connection, and its buffers at once: libevent itself frees
   them only when other events have been handled. */
void wp_process_close(struct bufferevent *bev);

/* How many descriptors this process may have; 0: any number. */
unsigned wp_process_descriptors(void);

#endif
