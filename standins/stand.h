/* Small stand-ins for what the platform gives, met by the same protocols.
 * Each runs as a process of its own and takes faults on its /control page. */
#ifndef STAND_H
#define STAND_H

#include "settings.pb-c.h"
#include "wp_http.h"

/* Each opens its pages on `http`; state lives as long as the process. */
void stand_kv(struct event_base *base, struct evhttp *http,
              const Wp__StandSettings *s);
void stand_engine(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *s);
void stand_service(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);
void stand_boxes(struct event_base *base, struct evhttp *http,
                 const Wp__StandSettings *s);
void stand_ratings(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);

/* The users' platform: its store, and one endpoint that it lists. */
void stand_pstore(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *s);
void stand_replica(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);

/* Fault fields present in `j` replace those in place. */
void stand_set_number(const json_t *j, const char *name, double *out);
void stand_set_bool(const json_t *j, const char *name, bool *out);

/* Cuts the connection without an answer. */
void stand_cut(struct evhttp_request *r);
const char *stand_path(struct evhttp_request *r);

#endif
