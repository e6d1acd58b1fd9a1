/* Readers and writers that follow a message's own description, so that each
 * shape is written down once, in proto/: YAML text to message, message to
 * JSON. */
#ifndef WP_PB_H
#define WP_PB_H

#include "wp_base.h"

#include <jansson.h>
#include <protobuf-c/protobuf-c.h>

/* Reads one YAML document into a new message. Unknown fields, wrong types
   and missing fields give an error "FILE:LINE: field: what would be right".
   A repeated Label is written as a mapping. Free the result with
   protobuf_c_message_free_unpacked(). */
ProtobufCMessage *wp_yaml_read(const ProtobufCMessageDescriptor *shape,
                               WPStr text, const char *file, GError **error);

/* A new JSON object; absent optional fields are left out. */
json_t *wp_pb_json(const ProtobufCMessage *m);

/* A packed copy; free with g_byte_array_unref(). */
GByteArray *wp_pb_pack(const ProtobufCMessage *m);

/* A deep copy. */
void *wp_pb_copy(const ProtobufCMessage *m);

static inline void wp_pb_free(void *m)
{
    if (m)
        protobuf_c_message_free_unpacked(m, NULL);
}

/* Points at one field of a message whose number is known at run time. */
#define WP_FIELD(m, f) ((char *)(m) + (f)->offset)

#endif
