/* Small stand-ins for the services of the platform, which speak the same
 * protocols. Each runs as a process of its own; faults are injected by a POST
 * to its /control path. */
#ifndef STAND_H
#define STAND_H

#include "settings.pb-c.h"
#include "wp_http.h"

/* Each of the functions stand_kv() to stand_replica() registers the paths of a
   stand-in with `http`. Its state is in memory and lost when the process ends.
   The settings must outlive it. */

/* Key-value store with the API of etcd's v3 gateway. */
void stand_kv(struct event_base *base, struct evhttp *http,
              const Wp__StandSettings *s);

/* Inference engine with an OpenAI-compatible API. */
void stand_engine(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *s);

/* Service without a model. */
void stand_service(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);

/* The platform's list of boxes. */
void stand_boxes(struct event_base *base, struct evhttp *http,
                 const Wp__StandSettings *s);

/* The service that rates answers. */
void stand_ratings(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);

/* The store of the users' platform. */
void stand_pstore(struct event_base *base, struct evhttp *http,
                  const Wp__StandSettings *s);

/* One endpoint of the users' platform, which registers itself in that store. */
void stand_replica(struct event_base *base, struct evhttp *http,
                   const Wp__StandSettings *s);

/* Sets *out to the member `name` of `j` if that is a number (a boolean, a
   string); else leaves it. A string's former text is freed. */
void stand_set_number(const json_t *j, const char *name, double *out);
void stand_set_bool(const json_t *j, const char *name, bool *out);
void stand_set_text(const json_t *j, const char *name, char **out);

/* Closes the request's connection without a response. */
void stand_close_connection(struct evhttp_request *r);

/* Sends `text` in place of a response, and closes the connection. */
void stand_answer_raw(struct evhttp_request *r, const char *text);

/* Path of the request's URL, without the query; "/" if empty. */
const char *stand_path(struct evhttp_request *r);

#endif
