/* Bytes without end in the place of an answer. */
#ifndef ENDLESS_H
#define ENDLESS_H

#include "wp_http.h"

/* Takes the connection of `r` away from evhttp and sends bytes on it until the
   peer closes it. `kind` names what they look like:
     event: a stream with an event that does not end; comments: a stream of
     comments; head, body, chunk, interim: a head, a body without a length, a
     chunk extension and interim answers that do not end.
   `fields` are the lines of the head. */
void endless_answer(struct evhttp_request *r, const char *kind,
                    const char *fields);

#endif
